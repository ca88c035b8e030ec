"""Tests of attempts whose answers are not read for a while."""

import pytest

from crankchute.core.forward_fakes import ForwardHarness
from crankchute.core.answer_reading import AnswerReading
from crankchute.core.forward_flow_test import fail, send_events
from crankchute.core.forward_job import RetryMode

_SILENCE_MS = 1000


class Stream:
    """A stream that has sent its first event, and its control."""

    def __init__(self):
        self.harness = ForwardHarness()
        self.harness.chooser.max_silence_ms = _SILENCE_MS
        submitted = self.harness.submit(repeat=RetryMode.RESUME, is_stream=True)
        self.flow = submitted[0]
        self.sink = submitted[1]
        self.reading = AnswerReading(self.flow)
        send_events(self.calls[0], 1)

    @property
    def calls(self):
        return self.harness.port.calls


@pytest.mark.parametrize('pause_ms', [900, 1500, 8000])
def test_pause_does_not_count_as_silence_of_the_server(pause_ms):
    """Guards against blaming a server that we do not read."""
    stream = Stream()
    stream.harness.timers.advance(500)
    stream.reading.pause_reading()
    assert stream.calls[0].paused
    stream.harness.timers.advance(pause_ms)
    stream.reading.resume_reading()
    assert not stream.calls[0].paused
    stream.harness.timers.advance(400)
    assert not stream.calls[0].cancelled
    send_events(stream.calls[0], 2)
    assert stream.flow.attempt.longest_gap_ms == 900


@pytest.mark.parametrize('pause_ms', [300, 1500])
def test_silence_after_a_pause_is_detected(pause_ms):
    """Guards against a watchdog that a pause disables for good."""
    stream = Stream()
    stream.harness.timers.advance(500)
    stream.reading.pause_reading()
    stream.harness.timers.advance(pause_ms)
    stream.reading.resume_reading()
    stream.harness.timers.advance(600)
    assert stream.calls[0].cancelled
    assert len(stream.calls) == 2


def test_repeated_pause_and_resume_count_once():
    """Guards against counting the time of a pause twice."""
    stream = Stream()
    stream.reading.resume_reading()
    stream.reading.pause_reading()
    stream.harness.timers.advance(300)
    stream.reading.pause_reading()
    stream.harness.timers.advance(300)
    stream.reading.resume_reading()
    stream.reading.resume_reading()
    stream.harness.timers.advance(100)
    send_events(stream.calls[0], 2)
    assert stream.flow.attempt.longest_gap_ms == 100


def test_next_attempt_starts_unpaused():
    """Guards against a pause of the wrong server."""
    stream = Stream()
    stream.reading.pause_reading()
    fail(stream.calls[0])
    assert not stream.calls[1].paused
    stream.reading.resume_reading()
    send_events(stream.calls[1], 2)
    assert stream.sink.events[-1] == ('event', 2)


def test_pause_after_the_end_does_nothing():
    """Guards against an error when the caller still reads a whole answer."""
    stream = Stream()
    stream.calls[0].listener.on_end()
    stream.reading.pause_reading()
    stream.reading.resume_reading()
    assert stream.flow.ended
    assert not stream.calls[0].paused
