"""Bounds the memory of answers, and the time that slow readers may take.

SendBuffers decides when reading an answer pauses and resumes, and which
transfers are ended.  Callers pass the time and apply the decisions.
"""

#: Unsent bytes of one answer above which reading from its server pauses.
ANSWER_LIMIT_BYTES = 262_144
#: How long a transfer over its limit may make no progress, in milliseconds.
#: Backend servers cut an answer that stays unread for some seconds.
NO_PROGRESS_MS = 4000
#: A pause in which the caller has read something is interrupted after this time
#: for one read, so that the server does not cut the answer.
INTERRUPT_MS = 2000
#: Unsent bytes of one answer above which pauses are not interrupted.
_INTERRUPT_LIMIT_BYTES = 1_048_576
#: Time without progress from which a transfer may be ended for the total first.
_SLOW_MS = 200
_PAUSE_FRACTION = 8
_END_FRACTION = 4


class Transfer:
    """The bytes in memory of one connection.

    Attributes:
      held: Bytes that are not ready to be sent, an int: an answer that is
        collected before it is passed on.
      is_answer: Whether the receiver is a caller, so that reading from a server
        can be paused; otherwise the receiver is a server.
      is_paused: Whether reading from the answer's server is paused.
      label: The id of the request or of the server, or None.
      progress_ms: When bytes were last sent or received.
      unsent: Bytes that the socket has not accepted, an int.
    """

    __slots__ = (
        '_paused_ms',
        '_queued',
        '_resume_at',
        'held',
        'is_answer',
        'is_paused',
        'label',
        'progress_ms',
        'unsent',
    )

    def __init__(self, *, is_answer, label=None):
        """Create a transfer without bytes.

        Args:
          is_answer: See the class.
          label: See the class.
        """
        self._paused_ms = None
        self._queued = 0
        self._resume_at = 0
        self.held = 0
        self.is_answer = is_answer
        self.is_paused = False
        self.label = label
        self.progress_ms = None
        self.unsent = 0

    @property
    def size(self):
        """All bytes in memory, an int."""
        return self.unsent + self.held

    def idle_ms(self, now_ms):
        """Return the time without progress, in milliseconds.

        Args:
          now_ms: The time in milliseconds.
        """
        return now_ms - self.progress_ms

    def pause(self, now_ms):
        """Pause until half of the bytes, or of the limit, are sent.

        Args:
          now_ms: The time in milliseconds.
        """
        self.is_paused = True
        self._paused_ms = now_ms
        self._resume_at = min(self.unsent, ANSWER_LIMIT_BYTES) // 2

    def resume_if_sent(self):
        """End the pause if enough bytes are sent; return whether it ended."""
        if not self.is_paused or self.unsent > self._resume_at:
            return False
        self.is_paused = False
        return True

    def interrupt_pause(self, now_ms):
        """End a pause for one read; return whether it ended.

        Args:
          now_ms: The time in milliseconds.
        """
        is_due = (
            self.is_paused
            and now_ms - self._paused_ms >= INTERRUPT_MS
            and self.progress_ms > self._paused_ms
            and self.unsent <= _INTERRUPT_LIMIT_BYTES
        )
        if is_due:
            self.is_paused = False
        return is_due

    def record_queue(self, queued, now_ms):
        """Record how many bytes the socket has accepted but not delivered.

        A slow receiver can empty this queue for seconds before the socket
        accepts more bytes; that is progress, too.

        Args:
          queued: An int.
          now_ms: The time in milliseconds.
        """
        if queued < self._queued:
            self.progress_ms = now_ms
        self._queued = queued

    def is_stalled(self, now_ms):
        """Tell whether the receiver must be disconnected for lack of progress.

        Args:
          now_ms: The time in milliseconds.
        """
        if self.is_answer:
            is_waiting = self.is_paused or self.unsent > ANSWER_LIMIT_BYTES
        else:
            is_waiting = self.unsent > 0
        return is_waiting and self.idle_ms(now_ms) >= NO_PROGRESS_MS


class SendBuffers:
    """Decides which transfers pause, resume and end.

    Bytes that wait to be sent to servers are views of requests, whose memory
    RequestMemory bounds; they are not in the total.

    Attributes:
      unread: Bytes that have arrived at paused sockets and are not read, an
        int; it is updated from outside and counts in the total.
    """

    def __init__(self, memory_bytes):
        """Create the state without transfers.

        Args:
          memory_bytes: The memory limit of the process.
        """
        self._buffered = 0
        self._answers = set()
        self._requests = set()
        self.unread = 0
        self.change_memory(memory_bytes)

    @property
    def total(self):
        """All bytes of answers in memory, an int."""
        return self._buffered + self.unread

    @property
    def transfers(self):
        """The Transfers that have bytes in memory, a tuple."""
        return (*self._answers, *self._requests)

    def change_memory(self, memory_bytes):
        """Change the memory limit of the process.

        Args:
          memory_bytes: The limit in bytes.
        """
        self.pause_total = memory_bytes // _PAUSE_FRACTION
        self.end_total = memory_bytes // _END_FRACTION

    def add_unsent(self, transfer, size, now_ms):
        """Add bytes that a socket did not accept.

        Args:
          transfer: A Transfer.
          size: The number of bytes.
          now_ms: The time in milliseconds.
        Returns:
          Whether reading from the answer's server must be paused.
        """
        if not transfer.unsent:
            transfer.progress_ms = now_ms
        transfer.unsent += size
        self._change_buffered(transfer, size)
        if transfer.is_answer and not transfer.is_paused:
            if transfer.unsent > self._answer_limit():
                transfer.pause(now_ms)
        return transfer.is_paused

    def record_sent(self, transfer, size, now_ms):
        """Record that a socket accepted buffered bytes.

        Args:
          transfer: A Transfer.
          size: The number of bytes.
          now_ms: The time in milliseconds.
        Returns:
          Whether reading from the answer's server must resume.
        """
        if size:
            transfer.progress_ms = now_ms
            transfer.unsent -= size
            self._change_buffered(transfer, -size)
        return transfer.resume_if_sent()

    def record_held(self, transfer, size, now_ms):
        """Set the number of bytes that are not ready to be sent.

        Args:
          transfer: A Transfer.
          size: The number of bytes.
          now_ms: The time in milliseconds.
        """
        change = size - transfer.held
        # Held bytes that arrive are no progress of a receiver that is sent
        # earlier bytes.
        if transfer.progress_ms is None or not transfer.unsent:
            transfer.progress_ms = now_ms
        transfer.held = size
        self._change_buffered(transfer, change)

    def close(self, transfer):
        """Remove a transfer whose connection is closed.

        Args:
          transfer: A Transfer.
        """
        self._requests.discard(transfer)
        if transfer in self._answers:
            self._answers.remove(transfer)
            self._buffered -= transfer.size

    def list_interrupted(self, now_ms):
        """End the pauses that are due for one read.

        Args:
          now_ms: The time in milliseconds.
        Returns:
          The Transfers whose answers are to be read again, a list.
        """
        return [
            transfer
            for transfer in self._answers
            if transfer.interrupt_pause(now_ms)
        ]

    def list_stalled(self, now_ms):
        """Return the Transfers to end for lack of progress, a list.

        Args:
          now_ms: The time in milliseconds.
        """
        return [
            transfer
            for transfer in self.transfers
            if transfer.is_stalled(now_ms)
        ]

    def find_excess(self, now_ms):
        """Return the Transfer to end because the total is over its bound.

        It is the largest of the slow ones; transfers that make progress are
        ended only if there is no slow one.

        Args:
          now_ms: The time in milliseconds.
        Returns:
          A Transfer, or None.
        """
        if self.total <= self.end_total:
            return None
        return max(
            self._answers,
            key=lambda one: (one.idle_ms(now_ms) >= _SLOW_MS, one.size),
            default=None,
        )

    def _answer_limit(self):
        """Return the unsent bytes at which an answer pauses.

        Over the total, this is an equal share.  At least one transfer, the
        largest, is above it, and those that remain below can add no more than
        the pause total once more.
        """
        if self.total <= self.pause_total:
            return ANSWER_LIMIT_BYTES
        share = self.pause_total // len(self._answers)
        return min(share, ANSWER_LIMIT_BYTES)

    def _change_buffered(self, transfer, change):
        if transfer.is_answer:
            self._buffered += change
        known = self._answers if transfer.is_answer else self._requests
        if transfer.size:
            known.add(transfer)
        else:
            known.discard(transfer)
