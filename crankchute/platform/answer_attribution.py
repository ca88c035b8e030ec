"""Attributes the answers of servers and instances by their request id.

Servers repeat the request's id in their answers, and may send an answer once
more when the next one of the connection is due.  Nothing in a head counts
before it is known whose answer it is.
"""

from crankchute.adapters.log import log_change
from crankchute.platform.wire import REQUEST_ID
from crankchute.ports.http import AnswerAttribution, AnswerOwner


class RequestIdAttribution(AnswerAttribution):
    """Attributes answers by the request id in their heads."""

    __slots__ = ()

    def __init__(self, request_id=None):
        """Create the attribution of one call.

        Args:
          request_id: The id that the request carries, or None if it has none.
        """
        self.request_id = request_id

    def find_owner(self, call):
        """See AnswerAttribution."""
        answer_id = call.headers.get(REQUEST_ID) or None
        owner = attribute_answer(self.request_id, answer_id, is_new=call.is_new)
        if owner != AnswerOwner.OWN:
            host, port = call.address
            log_change(
                'answer_not_own',
                failed=True,
                request=self.request_id,
                answer_to=answer_id,
                address=f'{host}:{port}',
                status=call.status,
                reused=not call.is_new,
                skipped=owner == AnswerOwner.EARLIER,
            )
        return owner


def attribute_answer(request_id, answer_id, *, is_new):
    """Return the AnswerOwner of an answer.

    Args:
      request_id: The id of the request that waits for an answer, or None.
      answer_id: The id in the answer's head, or None.
      is_new: Whether that request is the first of its connection, a bool.
    """
    if answer_id == request_id:
        return AnswerOwner.OWN
    if is_new:
        # There is no earlier request that the answer could belong to.
        is_unnamed = answer_id is None
        return AnswerOwner.OWN if is_unnamed else AnswerOwner.UNKNOWN
    return AnswerOwner.UNKNOWN if answer_id is None else AnswerOwner.EARLIER
