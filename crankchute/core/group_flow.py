"""Serves prompts that exceed the memory of one engine on a group of engines.

The prompt is split into segments, one for each member of the group.  Memory is
reserved at all members or at none, in the order of their ids, so that instances
that compete for the same engines cannot deadlock.  Each hold expires soon after
the deadline of its request, so engines free it even if the instance has failed.
Segments are prefilled one after another and kept for import by the last member.
A failed member is replaced by a spare engine, which prefills only that segment.
"""

import math

from crankchute.core.forward_job import Placement
from crankchute.core.hold_release import release_hold
from crankchute.core.single_flow import SingleFlow
from crankchute.ports.engines import HoldOrder, SegmentOrder

_BACKOFF_MS = 100
_DEADLINE_SLACK_MS = 500
#: Whether a byte is a UTF-8 continuation byte, indexed by its two highest bits.
_IS_CONTINUATION = (False, False, True, False)


class Member:
    """One engine of a group and its segment of the prompt."""

    __slots__ = ('backend', 'export', 'index', 'is_held', 'segment')

    def __init__(self, index, backend, segment):
        """Create a member without reserved memory.

        Args:
          index: The segment's index.
          backend: A Backend.
          segment: The segment's bytes.
        """
        self.index = index
        self.backend = backend
        self.segment = segment
        self.is_held = False
        self.export = None


class FinalSegment:
    """What the last engine of a group needs beyond a usual order."""

    __slots__ = ('_exports', '_group', '_segment')

    def __init__(self, segment, group, exports):
        """Create the record.

        Args:
          segment: The bytes of the last segment.
          group: The group's id.
          exports: The SegmentExports of the other members, in order.
        """
        self._segment = segment
        self._group = group
        self._exports = exports

    def apply(self, order):
        """Set the fields of an order that concern the group.

        Args:
          order: A GenerateOrder.
        """
        order.prompt = self._segment
        order.group = self._group
        order.imports = self._exports


class GroupFlow(SingleFlow):
    """Serves a job on a group of engines."""

    def __init__(self, job, context, sink):
        """Create the flow; run() starts it.

        Args:
          job: The Job.
          context: The Dispatcher's CompletionContext.
          sink: A RequestSink.
        """
        super().__init__(job, context, sink)
        self._group_number = 0
        self._members = []
        self._call = None

    def run(self):
        """Choose the members and start to reserve their memory.

        Returns:
          False if too few engines have enough free memory.
        """
        if self._end_if_quarantined():
            return True
        chosen = self._context.choose_group(self.job, self.avoided)
        if chosen is None:
            return False
        segments = split_prompt(self.job.prompt, len(chosen))
        self._members = [
            Member(index, chosen[index], segment)
            for index, segment in enumerate(segments)
        ]
        self._group_number += 1
        self._change_long_prompt_count(1)
        self._reserve_next()
        return True

    def on_attempt_not_run(self, attempt, rejection):
        """Replace a lost member, or restart if no member is lost."""
        self.attempt = None
        self._context.record_attempt_end(self, attempt, rejection.code)
        self._context.metrics.count('engine_refusals', rejection.code)
        lost = [member for member in self._members if self._is_lost(member)]
        if lost:
            self._replace(lost[0])
        else:
            self._restart(attempt.backend)

    @property
    def _group(self):
        return f'{self.job.request_id}-{self._group_number}'

    def _retry_elsewhere(self):
        """Replace the last engine after a failure and resume there."""
        self._replace(self._members[-1])

    def _is_lost(self, member):
        return not self._context.is_usable(member.backend, self.job)

    def _change_long_prompt_count(self, change):
        for member in self._members:
            member.backend.long_prompt_count += change

    def _reserve_next(self):
        pending = [member for member in self._members if not member.is_held]
        if not pending:
            self._prefill_next()
            return
        pending.sort(key=lambda member: member.backend.identity)
        self._reserve(pending[0], self._reserve_next)

    def _reserve(self, member, on_held):
        # A member that holds memory may have started to prefill.
        self._may_have_run = True
        group_number = self._group_number
        group = self._group
        remaining_ms = self.job.remaining_ms(self.now_ms())
        order = HoldOrder(
            group,
            self._context.count_tokens(self.job, member.segment),
            remaining_ms + _DEADLINE_SLACK_MS,
        )

        def on_done(is_held):
            if self.ended or group_number != self._group_number:
                self._release(member.backend, group)
            elif is_held:
                member.is_held = True
                on_held()
            else:
                self._restart(member.backend)

        self._context.engines.hold(member.backend, order, on_done)

    def _prefill_next(self):
        for member in self._members[:-1]:
            if member.export is None:
                self._prefill(member)
                return
        self._generate()

    def _prefill(self, member):
        preceding = self._members[: member.index]
        order = SegmentOrder(
            self._group,
            member.index,
            self.job,
            member.segment,
            preceding[-1].export.carry if preceding else '',
        )
        order.deadline_ms = self.job.remaining_ms(self.now_ms())
        group_number = self._group_number

        def on_done(export):
            if self.ended or group_number != self._group_number:
                return
            self._call = None
            if export is None:
                self._replace(member)
            else:
                member.export = export
                self._prefill_next()

        self._call = self._context.engines.prefill(
            member.backend,
            order,
            on_done,
        )

    def _generate(self):
        last = self._members[-1]
        exports = [member.export for member in self._members[:-1]]
        placement = Placement(
            last.backend,
            first_ms=self._context.predict_ms(last.backend, self.job),
            key=FinalSegment(last.segment, self._group, exports),
        )
        self._launch(placement)

    def _replace(self, member):
        """Replace a lost member by a spare engine that prefills its segment."""
        self.avoided.add(member.backend.identity)
        self._release(member.backend, self._group)
        member.backend.long_prompt_count -= 1
        member_ids = {other.backend.identity for other in self._members}
        spare = self._context.choose_replacement(
            self.job, member_ids | self.avoided
        )
        if spare is None:
            member.backend.long_prompt_count += 1
            self._restart(member.backend)
            return
        member.backend = spare
        member.backend.long_prompt_count += 1
        member.is_held = False
        member.export = None
        self._context.metrics.count('group_replacements')
        self._reserve(member, self._prefill_next)

    def _restart(self, backend):
        """Release the group and queue the job again after a random delay."""
        self._context.pause_backend(backend, _BACKOFF_MS)
        self._release_all()
        self._group_number += 1
        self._context.metrics.count('group_restarts')
        self._context.requeue(self)

    def _end(self, outcome, code):
        """Release the memory of the group however the request ends."""
        if self._call is not None:
            self._call.cancel()
            self._call = None
        self._release_all()
        super()._end(outcome, code)

    def _release(self, backend, group):
        until_ms = self.job.deadline_ms + _DEADLINE_SLACK_MS
        release_hold(self._context, backend, group, until_ms)

    def _release_all(self):
        members = self._members
        self._change_long_prompt_count(-1)
        self._members = []
        for member in members:
            self._release(member.backend, self._group)


def split_prompt(prompt, count):
    """Split a prompt into segments of about the same length.

    Args:
      prompt: UTF-8 text as bytes; it is split only between characters.
      count: The number of segments.
    Returns:
      A list of bytes.
    """
    size = math.ceil(len(prompt) / count)
    starts = [_align_offset(prompt, size * index) for index in range(count)]
    ends = [*starts[1:], len(prompt)]
    return [prompt[start:end] for start, end in zip(starts, ends)]


def _align_offset(prompt, offset):
    """Return the start of the first character at or after an offset."""
    while offset < len(prompt) and _IS_CONTINUATION[prompt[offset] >> 6]:
        offset += 1
    return min(offset, len(prompt))
