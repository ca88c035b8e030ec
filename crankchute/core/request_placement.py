"""Placement of a request, if necessary with a permit of another instance.

A permit is the right to send one request to a rate-limited server.
"""

from crankchute.core.choosers import PAUSED_OR_LIMITED
from crankchute.core.forward_job import Placement


def place_request(context, flow, avoided, on_choice):
    """Choose the server of a request's next attempt.

    If this instance has no permit at any server, it tries to borrow one from
    another instance, since a low rate limit is divided among few instances.

    Args:
      context: The Forwarder.
      flow: The ForwardFlow.
      avoided: Ids of servers to exclude.
      on_choice: A function of a Placement or a Refusal.  Called immediately,
        or after other instances have answered, when the flow may have ended.
    """
    choice = context.choose(flow, avoided)
    # A permit does not help against refusals for other reasons, such as a
    # request that crashes servers.
    if isinstance(choice, Placement) or choice.code != PAUSED_OR_LIMITED:
        on_choice(choice)
        return
    chooser = context.find_chooser(flow.job.pool)

    def on_permit(server):
        placement = None
        if server is not None and not flow.ended:
            placement = chooser.choose_on_server(flow.job, server)
        if isinstance(placement, Placement):
            chooser.record_sent(flow.job, placement)
            on_choice(placement)
        else:
            context.lending.discard_borrowed(server)
            on_choice(choice)

    if not context.lending.borrow(
        chooser.list_without_permit(avoided), on_permit
    ):
        on_choice(choice)


def choose_isolated(chooser, job, avoided):
    """Choose a server for a request that is suspected of crashing servers.

    An idle server is preferred: if it crashes as well, no other request is
    interrupted, and no other request can be the cause.

    Args:
      chooser: A Chooser.
      job: A ForwardJob.
      avoided: A set of ids of excluded servers.
    Returns:
      A Placement, or a Refusal.
    """
    isolated = chooser.choose(job, avoided | chooser.list_busy())
    if isinstance(isolated, Placement):
        return isolated
    return chooser.choose(job, avoided)
