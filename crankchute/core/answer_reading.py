"""Control over the reading of answers from backend servers."""


class AnswerReading:
    """Pauses and resumes reading the answer of a flow from its server."""

    __slots__ = ('_flow',)

    def __init__(self, flow):
        """Create the control.

        Args:
          flow: A ForwardFlow.
        """
        self._flow = flow

    def pause_reading(self):
        """Stop reading, since the caller reads too slowly."""
        if self._flow.attempt is not None:
            self._flow.attempt.pause_reading()

    def resume_reading(self):
        """Read again."""
        if self._flow.attempt is not None:
            self._flow.attempt.resume_reading()
