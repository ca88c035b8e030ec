"""Mutation tests: checks that scenarios and tests detect a disabled guard.

Each mutation disables one guard in a copy of the code.  The scenario or the
test for that guard must then fail.  Run it with `python -m bench.mutations`.
"""

import shutil
import subprocess  # noqa: S404
import sys
import tempfile
from pathlib import Path

from bench.cluster import ROOT

_TIMEOUT_S = 150
_SCENARIO_MODULE = ('bench.faults', '--rounds=1')
_TEST_MODULE = ('pytest', '-x', '-c', '/dev/null', '--rootdir=.')
_COMPLETION_TEST = 'crankchute/core/completion_machine_test.py'
_CALL_TEST = 'crankchute/core/once_machine_test.py'
_FORWARD_FLOW = 'crankchute/core/forward_flow.py'
_RESERVATION_TEST = 'crankchute/core/reservations_test.py'
_GROUP_FLOW = 'crankchute/core/group_flow.py'
_PATHS_TEST = 'crankchute/core/pool_paths_test.py'
_RELAY_TEST = 'crankchute/core/relay_test.py'
_PARTS_TEST = 'crankchute/core/crash_parts_test.py'
_HISTORY = 'crankchute/core/crash_history.py'
_CULPRITS = 'crankchute/core/crash_culprits.py'
_ENDLESS_TEST = 'crankchute/platform/endless_bytes_test.py'
_LATE_TEST = 'crankchute/platform/late_answers_test.py'
_RELAYED_TEST = 'crankchute/platform/relayed_requests_test.py'
_REFUSED_RELAYS_TEST = 'crankchute/platform/refused_relays_test.py'
_CONFIG_CHANGES_TEST = 'crankchute/platform/config_changes_test.py'
_SILENT = 'crankchute/core/silent_attempts.py'
_SILENT_TEST = 'crankchute/core/silent_attempts_test.py'
_REPLACED_TEST = 'crankchute/core/replaced_attempts_test.py'
_FAILING_RECORDS_TEST = 'crankchute/core/failing_records_test.py'
_FORWARD_TEST = 'crankchute/core/forward_machine_test.py'
_POOL_CHANGES_TEST = 'crankchute/core/pool_changes_test.py'
_SHUTDOWN_TEST = 'crankchute/entry/shutdown_test.py'
_HTTP_CALL = 'crankchute/adapters/http_call.py'
_REQUEST_MEMORY = 'crankchute/core/request_memory.py'
_REQUEST_MEMORY_TEST = 'crankchute/core/request_memory_test.py'


class Mutation:
    """A change that disables a guard, and the check that must detect it."""

    __slots__ = ('path', 'replaced', 'replacement', 'scenario', 'title')

    def __init__(self, title, scenario, path, replaced, replacement):
        """Create the mutation.

        Args:
          title: The resulting fault.
          scenario: A part of the name of a scenario, or the path of a test.
          path: The path of the changed file in the repository.
          replaced: The code to replace, which occurs once in the file.
          replacement: The new code.
        """
        self.title = title
        self.scenario = scenario
        self.path = path
        self.replaced = replaced
        self.replacement = replacement


MUTATIONS = (
    Mutation(
        'requests do not end at their deadline',
        'frozen and woken',
        'crankchute/core/job.py',
        'return self.deadline_ms - now_ms',
        'return self.deadline_ms - now_ms + 99_999',
    ),
    Mutation(
        'frames are forwarded after a pause past the deadline',
        _COMPLETION_TEST,
        _FORWARD_FLOW,
        'if not self.ended and self.job.remaining_ms(self.now_ms()) < 0:',
        'if not self.ended and self.job.remaining_ms(self.now_ms()) < -99_999:',
    ),
    Mutation(
        'requests are not cancelled when the caller disconnects',
        'memory returns',
        'crankchute/entry/caller_api.py',
        'exchange.on_gone = lambda: self._cancel_request(request, flow)',
        'exchange.on_gone = None',
    ),
    Mutation(
        'frames are not matched to their request',
        'whole answers',
        'crankchute/core/frames.py',
        'if (frame.request_id, frame.attempt) != expected:',
        'if expected is None:',
    ),
    Mutation(
        'a call with a lost answer is reported as not run',
        'not run is true',
        _FORWARD_FLOW,
        'if self.may_have_run or self._streaming:',
        'if self.may_have_run and self.job.may_retry or self._streaming:',
    ),
    Mutation(
        'a key may start twice',
        'at most once',
        'crankchute/core/request_keys.py',
        'return Claim.ENDED if entry.ended else Claim.RUNNING',
        'return Claim.FIRST',
    ),
    Mutation(
        'an instance accepts keys that are bound to others',
        'at most once',
        'crankchute/core/request_keys.py',
        'if key.binding != self._binding:',
        'if key.binding is None:',
    ),
    Mutation(
        'leaving backends are still chosen',
        'leaving backend',
        'crankchute/core/fleet.py',
        'if self.listed.state == LEAVING:\n            return True',
        'if self.listed.state == LEAVING:\n            return False',
    ),
    Mutation(
        'a stop does not wait for requests in progress',
        'planned stop',
        'crankchute/entry/node.py',
        'if active_calls or self.http_server.open_exchanges:',
        'if active_calls < 0:',
    ),
    Mutation(
        'a starting instance does not pull newer configuration from peers',
        'configuration',
        'crankchute/entry/peering.py',
        'if not is_behind or name in self._pulling or not address:',
        "if name == 'config' and not self._stores[name].seen_revision:",
    ),
    Mutation(
        'a finished attempt stays counted as in flight',
        _COMPLETION_TEST,
        'crankchute/core/forward_attempt.py',
        '            self.backend.in_flight -= 1\n',
        '            self.backend.in_flight -= 0\n',
    ),
    Mutation(
        'a group does not release its holds',
        _COMPLETION_TEST,
        _GROUP_FLOW,
        '            self._release(member.backend, self._group)\n',
        '            member.is_held = False\n',
    ),
    Mutation(
        'a hold that is granted too late is not released',
        _COMPLETION_TEST,
        _GROUP_FLOW,
        '                self._release(member.backend, group)\n',
        '                member.is_held = False\n',
    ),
    Mutation(
        'a release counts as conclusive while a reservation is pending',
        _RESERVATION_TEST,
        'crankchute/core/lease.py',
        'is_conclusive=not self._pending_reserves',
        'is_conclusive=True',
    ),
    Mutation(
        'releases stop while a reservation may still be carried out',
        _RESERVATION_TEST,
        'crankchute/core/lease.py',
        'self._late_until_ms = now_ms + _MAX_ORDER_DELAY_MS',
        'self._late_until_ms = now_ms',
    ),
    Mutation(
        'an unanswered release is not retried',
        _RESERVATION_TEST,
        'crankchute/core/lease.py',
        'or self._reservation_manager.now_ms() < until_ms',
        'or False',
    ),
    Mutation(
        'an unused reservation is renewed',
        _RESERVATION_TEST,
        'crankchute/core/reservations.py',
        'if self._is_start_overdue() and not self._is_used:',
        'if self._ended:',
    ),
    Mutation(
        'an attempt does not release memory that it did not use',
        _RESERVATION_TEST,
        'crankchute/core/attempt_watchdog.py',
        'if reservation is not None and not self._attempt.started:',
        'if reservation is not None and self._attempt.started:',
    ),
    Mutation(
        'late timers run before pending reads',
        'crankchute/adapters/timers_test.py',
        'crankchute/adapters/timers.py',
        'if self._must_read_first():',
        'if self._must_read_first() is None:',
    ),
    Mutation(
        'a lost release of a hold is not retried',
        'crankchute/core/group_flow_test.py',
        'crankchute/core/hold_release.py',
        'if context.now_ms() < until_ms:',
        'if context.now_ms() > until_ms:',
    ),
    Mutation(
        'a gap in a stream is ignored',
        _COMPLETION_TEST,
        'crankchute/core/frames.py',
        'if frame.offset == self.offset:',
        'if frame.offset >= self.offset:',
    ),
    Mutation(
        'a paused request does not end when the instance resumes',
        _COMPLETION_TEST,
        _FORWARD_FLOW,
        'self._context.after(remaining_ms, self._on_deadline)',
        'self._context.after(remaining_ms * 9, self._on_deadline)',
    ),
    Mutation(
        'a call that may have run is repeated',
        _CALL_TEST,
        _FORWARD_FLOW,
        'may_retry = self.job.may_retry and is_safe',
        'may_retry = is_safe',
    ),
    Mutation(
        'an expired key may start',
        _CALL_TEST,
        'crankchute/core/request_keys.py',
        'if not now_ms < key.expiry_ms <= now_ms + self._max_lifetime_ms:',
        'if key.expiry_ms > now_ms + self._max_lifetime_ms:',
    ),
    Mutation(
        'an invalid configuration revision is applied',
        'configuration',
        'crankchute/core/config_loader.py',
        '    if findings:\n        raise ConfigError(findings)\n'
        '    return config',
        '    return config',
    ),
    Mutation(
        'a server that announced that it leaves still gets requests',
        'crankchute/platform/server_words_test.py',
        'crankchute/core/server_notice.py',
        'if notice.is_leaving:',
        'if notice is None:',
    ),
    Mutation(
        'servers that asked for a backoff still get requests',
        'crankchute/platform/resting_servers_test.py',
        'crankchute/core/choosers.py',
        'now_ms >= backend.paused_until_ms',
        'True',
    ),
    Mutation(
        'servers whose rate limit is exhausted still get requests',
        'crankchute/platform/limited_servers_test.py',
        'crankchute/core/choosers.py',
        'if has_permit(backend.identity)',
        'if backend',
    ),
    Mutation(
        'each instance uses the whole rate limit',
        'crankchute/platform/limited_servers_test.py',
        'crankchute/core/limit_shares.py',
        'return self.share_factor / len(holders) if instance in holders else 0',
        'return 1',
    ),
    Mutation(
        'a share of a limit applies as soon as it is seen',
        'crankchute/core/limit_shares_test.py',
        'crankchute/core/limit_shares.py',
        'self._clock.now_ms() - WINDOW_MS',
        'self._clock.now_ms()',
    ),
    Mutation(
        'an isolated instance takes over the shares of others',
        'crankchute/core/limit_shares_test.py',
        'crankchute/core/limit_shares.py',
        'if reachable_count > len(unreachable):',
        'if reachable_count:',
    ),
    Mutation(
        'an answer to a request sent before the limit loosens it',
        'crankchute/core/advertised_limits_test.py',
        'crankchute/core/advertised_limits.py',
        'if report.loosens(known) and sent_ms < known.at_ms:',
        'if report.loosens(known) and known is None:',
    ),
    Mutation(
        'a relayed report replaces the report of the same source',
        'crankchute/core/advertised_limits_test.py',
        'crankchute/core/advertised_limits.py',
        'if report.source == known.source:',
        'if report is known:',
    ),
    Mutation(
        'reservations and probes do not count towards a limit',
        'crankchute/core/permit_lending_test.py',
        'crankchute/core/limit_permits.py',
        'self._refill(server).take(self._rate(server))',
        'self._refill(server)',
    ),
    Mutation(
        'a lent permit does not count towards a limit',
        'crankchute/core/permit_lending_test.py',
        'crankchute/core/permit_lending.py',
        'permits.record_sent(best)',
        'permits.available(best)',
    ),
    Mutation(
        'a held request is sent with a borrowed permit',
        'crankchute/core/request_placement_test.py',
        'crankchute/core/request_placement.py',
        'if isinstance(choice, Placement) or choice.code != PAUSED_OR_LIMITED:',
        'if isinstance(choice, Placement):',
    ),
    Mutation(
        'limited servers are not probed',
        'crankchute/core/limit_permits_test.py',
        'crankchute/core/limit_probes.py',
        'self._send_probe(limit.server)',
        'self._probed_ms[limit.server] = now_ms',
    ),
    Mutation(
        'a backoff is lost when the registration of the server lapses',
        'crankchute/core/server_pauses_test.py',
        'crankchute/core/forward_fleet.py',
        'backend.pause_until(self.pauses.until_ms(listed.identity))',
        'backend.pause_until(0)',
    ),
    Mutation(
        'revisions of a restored store are compared without their era',
        'crankchute/platform/store_era_test.py',
        'crankchute/platform/store_position.py',
        'return (era << _REVISION_BITS) + revision',
        'return revision',
    ),
    Mutation(
        'a restored store brings back servers that left',
        'crankchute/platform/store_era_test.py',
        'crankchute/platform/published.py',
        'may_be_old=is_restored',
        'may_be_old=False',
    ),
    Mutation(
        'crashes of later attempts are not counted separately',
        'crankchute/core/crash_attribution_test.py',
        'crankchute/core/crash_attribution.py',
        'if not count or begun_ms > last_ms:',
        'if not count:',
    ),
    Mutation(
        'paths: no other instance confirms that they are lost',
        _PATHS_TEST,
        'crankchute/core/pool_paths.py',
        'self._ask(servers)',
        'self._lose(servers)',
    ),
    Mutation(
        'paths: late answers decide a later check',
        _PATHS_TEST,
        'crankchute/core/pool_paths.py',
        'and self._checked_ms == decided_ms',
        'and True',
    ),
    Mutation(
        'paths: retries multiply',
        _PATHS_TEST,
        'crankchute/core/pool_paths.py',
        'self._retry_timer.cancel()',
        'self._lost_ms += 0',
    ),
    Mutation(
        'paths: no other instance confirms a crash',
        _PATHS_TEST,
        'crankchute/core/server_paths.py',
        'self._ask_about(backend, on_known, questions_left)',
        'on_known(True)',
    ),
    Mutation(
        'paths: an earlier connection denies a crash',
        'crankchute/platform/crash_checks_test.py',
        'crankchute/entry/path_checks.py',
        'if now_ms - proved_ms < min(max_age_ms, _MAX_PROOF_AGE_MS):',
        'if now_ms - proved_ms < _MAX_PROOF_AGE_MS:',
    ),
    Mutation(
        'paths: a missing answer confirms a crash',
        'crankchute/platform/crash_checks_test.py',
        'crankchute/entry/path_checks.py',
        'True if self._refused_by or self._is_alone else None',
        'True',
    ),
    Mutation(
        'paths: nobody to ask confirms a crash',
        'crankchute/platform/crash_checks_test.py',
        'crankchute/entry/path_checks.py',
        'True if self._refused_by or self._is_alone else None',
        'True if self._refused_by or not self._asked else None',
    ),
    Mutation(
        'paths: a crash is denied at the first missing answer',
        _PATHS_TEST,
        'crankchute/core/server_paths.py',
        'if has_crashed is None and questions_left > 1:',
        'if has_crashed is None and questions_left > 3:',
    ),
    Mutation(
        'paths: failures over lost paths are kept',
        _PATHS_TEST,
        'crankchute/core/pool_paths.py',
        'backend.forget_failures(self._now_ms())',
        'backend.pause_until(0)',
    ),
    Mutation(
        'paths: late failures over lost paths count',
        _PATHS_TEST,
        'crankchute/core/fleet.py',
        'if sent_ms is not None and sent_ms < self.judged_from_ms:',
        'if sent_ms is not None and sent_ms < 0:',
    ),
    Mutation(
        'paths: callers are directed to instances without them',
        'crankchute/core/peer_exchange_test.py',
        'crankchute/core/active_instances.py',
        'and not self.view(member.identity).lost_pools',
        'and True',
    ),
    Mutation(
        'paths: a relayed request is relayed again',
        _RELAY_TEST,
        'crankchute/core/relay.py',
        'if job.relay is None:',
        'if job is not None:',
    ),
    Mutation(
        'paths: attempts that must not be repeated are ended',
        _RELAY_TEST,
        'crankchute/core/relay.py',
        'may_retry = flow.job.may_retry and',
        'may_retry = bool(flow) and',
    ),
    Mutation(
        'paths: a relayed request counts for two budgets',
        _RELAY_TEST,
        'crankchute/core/forwarder.py',
        'if job.relay is None:',
        'if job is not None:',
    ),
    Mutation(
        'silence: an attempt ends though none may follow',
        _SILENT_TEST,
        _SILENT,
        'if flow.attempts >= job.max_attempts:',
        'if flow.attempts > job.max_attempts:',
    ),
    Mutation(
        'shutdown: requests are accepted that the process cuts',
        'crankchute/platform/stops_test.py',
        'crankchute/core/shutdown_admission.py',
        'if not self.is_closed and needed_ms <= left_ms:',
        'if not self.is_closed:',
    ),
    Mutation(
        'shutdown: requests are accepted in the last turn',
        'crankchute/platform/stops_test.py',
        'crankchute/core/shutdown_admission.py',
        'if not self.is_closed and needed_ms <= left_ms:',
        'if needed_ms <= left_ms:',
    ),
    Mutation(
        'silence: a request is sent to one silent server after another',
        _SILENT_TEST,
        _SILENT,
        'return heard or [one for one in backends if not one.in_flight]',
        'return heard or list(backends)',
    ),
    Mutation(
        'silence: servers that hang keep getting requests',
        _SILENT_TEST,
        'crankchute/core/fleet.py',
        'self.breaker.record_failure(now_ms)\n\n    def record_overdue',
        'self.breaker.record_abandoned()\n\n    def record_overdue',
    ),
    Mutation(
        'ends: a failed write counts as an end in order',
        'crankchute/adapters/connection_ends_test.py',
        'crankchute/adapters/connection_hub.py',
        "self._errors.setdefault(sock, f'send: {exc.strerror}')",
        'self._errors.pop(sock, None)',
    ),
    Mutation(
        'ends: a failed read counts as an end in order',
        'crankchute/adapters/connection_ends_test.py',
        'crankchute/adapters/connection_hub.py',
        "self._errors.setdefault(sock, f'receive: {exc.strerror}')",
        'self._errors.pop(sock, None)',
    ),
    Mutation(
        'ends: bytes that arrived before a failed write are discarded',
        'crankchute/adapters/connection_ends_test.py',
        'crankchute/adapters/connection_hub.py',
        'or not has_input(sock):',
        'or sock in self._errors:',
    ),
    Mutation(
        'ends: one without a known cause counts as one in order',
        'crankchute/adapters/connection_ends_test.py',
        'crankchute/adapters/connection_hub.py',
        'if error is None and not has_ended:',
        'if error is not None and not has_ended:',
    ),
    Mutation(
        'ends: an end counts before the request has arrived',
        'crankchute/adapters/connection_ends_test.py',
        'crankchute/adapters/connection_hub.py',
        'return self._count_undelivered(sock) > 0',
        'return False',
    ),
    Mutation(
        'keys: an empty list of accounts opens all routes',
        'crankchute/platform/documents_test.py',
        'crankchute/platform/documents.py',
        'if accounts is None:',
        'if not accounts:',
    ),
    Mutation(
        'orders: they do not name their server',
        'crankchute/platform/reused_addresses_test.py',
        'crankchute/platform/engine_orders.py',
        '(TARGET_INCARNATION, backend.listed.listed_id),',
        '',
    ),
    Mutation(
        'reports: they do not name their server',
        'crankchute/platform/reused_addresses_test.py',
        'crankchute/platform/engine_reports.py',
        'headers=((TARGET_INCARNATION, backend.listed.listed_id),),',
        '',
    ),
    Mutation(
        'memory: requests ask for the share of an answer',
        'crankchute/core/send_buffers_test.py',
        'crankchute/core/send_buffers.py',
        'if transfer.is_answer and not transfer.is_paused:',
        'if not transfer.is_paused:',
    ),
    Mutation(
        'memory: long requests are not bounded',
        _REQUEST_MEMORY_TEST,
        _REQUEST_MEMORY,
        'and self.large_used + claim.size <= self._large_limit',
        'and self.large_used + claim.size >= 0',
    ),
    Mutation(
        'memory: one caller takes all',
        _REQUEST_MEMORY_TEST,
        _REQUEST_MEMORY,
        'self._owner_limit = self._large_limit - others',
        'self._owner_limit = self._large_limit',
    ),
    Mutation(
        'memory: requests wait in vain',
        _REQUEST_MEMORY_TEST,
        'crankchute/core/request_wait.py',
        'return now_ms + needed_ms > claim.deadline_ms',
        'return now_ms > claim.deadline_ms',
    ),
    Mutation(
        'memory: the rest of a refused request resets its connection',
        'crankchute/platform/long_requests_test.py',
        'crankchute/adapters/forward_server.py',
        'self._discard_rest(sock)\n        if',
        'self.close(sock)\n        if',
    ),
    Mutation(
        'memory: ended requests are kept until they are collected',
        'crankchute/core/forward_flow_test.py',
        'crankchute/core/forwarder.py',
        '        flow.job.payload = None\n',
        '',
    ),
    Mutation(
        'configuration: a shorter idle time applies at once',
        _CONFIG_CHANGES_TEST,
        'crankchute/core/idle_timeout.py',
        'return max([self._newest_ms, *earlier])',
        'return self._newest_ms if earlier else self._newest_ms',
    ),
    Mutation(
        'configuration: kept connections have earlier limits',
        _CONFIG_CHANGES_TEST,
        'crankchute/adapters/http_intake.py',
        '            self._limits = self._choose_limits()\n',
        '',
    ),
    Mutation(
        'paths: a proxy makes several attempts',
        _RELAYED_TEST,
        'crankchute/platform/relayed_requests.py',
        'job.max_attempts = 1',
        'job.max_attempts = 9',
    ),
    Mutation(
        'paths: a proxy without paths is asked again',
        _RELAYED_TEST,
        'crankchute/platform/relay_calls.py',
        'if headers.get(RELAY_OUTCOME) != RelayOutcome.ELSEWHERE.value:',
        'if headers:',
    ),
    Mutation(
        'paths: silence ends a request that must not be repeated',
        'crankchute/core/engine_chooser_test.py',
        'crankchute/core/engine_chooser.py',
        'if job.repeat == RetryMode.ONCE:',
        'if job.repeat is None:',
    ),
    Mutation(
        'parts that are at all crashes need no other evidence',
        _PARTS_TEST,
        _CULPRITS,
        'return is_likely_cause(suspects, evidence)',
        'return True',
    ),
    Mutation(
        'sound parts hide those that crash servers',
        _PARTS_TEST,
        _CULPRITS,
        'in attribute(log.crashes, unlikely)',
        'in attribute(log.crashes)',
    ),
    Mutation(
        'parts are not cleared by answers',
        _PARTS_TEST,
        _HISTORY,
        '        self._clear_answered(parts, sent_ms)\n',
        '',
    ),
    Mutation(
        'answers to earlier requests clear parts',
        _PARTS_TEST,
        _HISTORY,
        'self._clear_answered(parts, sent_ms)',
        'self._clear_answered(parts, self._now_ms())',
    ),
    Mutation(
        'suspects that are blamed together are refused one by one',
        _PARTS_TEST,
        'crankchute/core/quarantines.py',
        'if held.suspects <= fingerprints:',
        'if held.suspects & fingerprints:',
    ),
    Mutation(
        'a quarantined part is never tried',
        _PARTS_TEST,
        'crankchute/core/quarantines.py',
        'return now_ms - held.held_ms >= _TRIAL_INTERVAL_MS',
        'return False',
    ),
    Mutation(
        'an answer that a crash may have ended clears its suspects',
        'crankchute/core/crash_detector_test.py',
        'crankchute/core/crash_detector.py',
        'if head.ends_with_connection and any(',
        'if not head and any(',
    ),
    Mutation(
        'a trial that crashed its server is sent again',
        'crankchute/core/crash_detector_test.py',
        'crankchute/core/crash_detector.py',
        'self._history.end_trial(job.request_id)',
        'pass',
    ),
    Mutation(
        'events are unbounded',
        _ENDLESS_TEST,
        'crankchute/core/event_stream.py',
        'if len(self._buffer) > _MAX_EVENT:',
        'if not self._buffer:',
    ),
    Mutation(
        'the framing of answers is unbounded',
        _ENDLESS_TEST,
        _HTTP_CALL,
        'if self._framing_bytes > _MAX_FRAMING_BYTES:',
        'if self._framing_bytes < 0:',
    ),
    Mutation(
        'answers to earlier requests are believed',
        _LATE_TEST,
        'crankchute/platform/answer_attribution.py',
        'if answer_id == request_id:',
        'if request_id is not None:',
    ),
    Mutation(
        'a connection is reused by the request that it has answered',
        _LATE_TEST,
        'crankchute/ports/http.py',
        'return earlier is None or earlier.request_id != self.request_id',
        'return True',
    ),
    Mutation(
        'a connection is reused by a request that it answered before others',
        _LATE_TEST,
        'crankchute/adapters/idle_connections.py',
        'earlier[-_MAX_EARLIER:]',
        'earlier[-1:]',
    ),
    Mutation(
        'answers to earlier requests are skipped without a bound',
        _LATE_TEST,
        _HTTP_CALL,
        'elif self._skipped > _MAX_SKIPPED:',
        'elif self._skipped < 0:',
    ),
    Mutation(
        'the bodies of skipped answers are unbounded',
        _LATE_TEST,
        _HTTP_CALL,
        'if self._skipped_bytes > MAX_BUFFERED_BODY:',
        'if self._skipped_bytes < 0:',
    ),
    Mutation(
        'a connection is reused after a skipped answer',
        _LATE_TEST,
        _HTTP_CALL,
        'is_sound = not self._skipped',
        'is_sound = True',
    ),
    Mutation(
        'a request whose server answered too late has not run',
        _FORWARD_TEST,
        _FORWARD_FLOW,
        '        self.may_have_run = True\n'
        '        self._context.record_attempt_end(self, attempt, str',
        '        self._context.record_attempt_end(self, attempt, str',
    ),
    Mutation(
        'shutdown: half-read requests get no answer',
        'crankchute/platform/stops_test.py',
        'crankchute/entry/shutdown.py',
        '        self.host.refuse_unread()\n',
        '',
    ),
    Mutation(
        'shutdown: half-read requests of other instances may have run',
        'crankchute/platform/half_read_relays_test.py',
        'crankchute/platform/relayed_requests.py',
        'server.list_rejection_headers = self.list_rejection_headers',
        'server.list_rejection_headers = None',
    ),
    Mutation(
        'relays: requests refused for their content drop proxies',
        _REFUSED_RELAYS_TEST,
        'crankchute/core/relay.py',
        'if refusal.status in _CONTENT_STATUSES:',
        'if refusal.status is None:',
    ),
    Mutation(
        'relays: new limits leave no room for headers of relays',
        _REFUSED_RELAYS_TEST,
        'crankchute/platform/instance_limits.py',
        'limits.add_header_room(room)',
        'limits',
    ),
    Mutation(
        'relays: the id of a request comes last',
        _REFUSED_RELAYS_TEST,
        'crankchute/platform/relay_calls.py',
        '*_put_id_first(payload.headers)',
        '*payload.headers',
    ),
    Mutation(
        'shutdown: a request that cannot be ended keeps others waiting',
        _SHUTDOWN_TEST,
        'crankchute/core/call_for_each.py',
        'except Exception as exc:',
        'except KeyError as exc:',
    ),
    Mutation(
        'shutdown: a request that cannot be ended keeps the process running',
        _SHUTDOWN_TEST,
        'crankchute/entry/shutdown.py',
        'if (desk.in_progress or has_unsent) and now_ms < schedule.exit_ms:',
        'if desk.in_progress or has_unsent and now_ms < schedule.exit_ms:',
    ),
    Mutation(
        'a reload signal during the start ends the process',
        'tests/soak_test.py',
        'crankchute/platform/__main__.py',
        'signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})',
        'signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})',
    ),
    Mutation(
        'configuration: plain requests in progress are placed at engines',
        _POOL_CHANGES_TEST,
        'crankchute/core/forwarder.py',
        'if chooser is None or not chooser.accepts(job):',
        'if chooser is None:',
    ),
    Mutation(
        'configuration: the work of removed engines counts until its deadline',
        _POOL_CHANGES_TEST,
        'crankchute/core/forwarder.py',
        '        chooser = placement.chooser\n'
        '        if chooser is not None:\n'
        '            chooser.record_end(',
        '        chooser = self.find_chooser(flow.job.pool)\n'
        '        if chooser is not None:\n'
        '            chooser.record_end(',
    ),
    Mutation(
        'silence: a placement that meets a passed deadline is kept',
        _REPLACED_TEST,
        _FORWARD_FLOW,
        '            if choice is not None:\n'
        '                self._context.record_freed(self, choice)\n',
        '',
    ),
    Mutation(
        'silence: a retry is made that the budget denies',
        _REPLACED_TEST,
        _SILENT,
        'if self._forwarder.take_retry(flow.job):',
        'if self._forwarder.take_retry(flow.job) or choice:',
    ),
    Mutation(
        'a request whose end was not recorded has not run',
        _FORWARD_TEST,
        'crankchute/core/forward_attempt.py',
        '        return self._call is not None and self._call.sent',
        '        if self.is_closed:\n'
        '            return False\n'
        '        return self._call is not None and self._call.sent',
    ),
    Mutation(
        'a request whose attempt could not be freed has not run',
        _FAILING_RECORDS_TEST,
        _FORWARD_FLOW,
        '        self.may_have_run = self.may_have_run or attempt.is_sent\n'
        '        self.attempt = None\n'
        '        attempt.cancel()\n',
        '        self.attempt = None\n'
        '        attempt.cancel()\n'
        '        self.may_have_run = self.may_have_run or attempt.is_sent\n',
    ),
    Mutation(
        'a list that was replaced as a whole passes on changes of before',
        'crankchute/core/server_list_test.py',
        'crankchute/core/list_coverage.py',
        'while spans and first <= spans[-1][1]:',
        'while spans:',
    ),
    Mutation(
        'changes that were asked for an older list are applied',
        'crankchute/platform/published_test.py',
        'crankchute/core/server_list.py',
        'and changes.deletions_since <= self.revision',
        'and True',
    ),
    Mutation(
        'store: pages are stale after a loss of history',
        'crankchute/platform/store_test.py',
        'crankchute/platform/store.py',
        '        self._position = None\n        self._may_read_stale = False\n',
        '        self._position = None\n',
    ),
    Mutation(
        'answers: any status counts',
        'crankchute/platform/odd_statuses_test.py',
        'crankchute/core/answer_status.py',
        'if not _FIRST_INFORMATIONAL <= status <= _LAST:',
        'if not 0 <= status:',
    ),
    Mutation(
        'answers: an informational one has a body',
        'crankchute/platform/odd_statuses_test.py',
        'crankchute/core/answer_status.py',
        'if is_informational(status) and _has_body(headers):',
        'if False:',
    ),
    Mutation(
        'configuration: its version is too large for messages',
        'crankchute/platform/odd_entries_test.py',
        'crankchute/platform/documents.py',
        'if not 0 < version < 1 << _VERSION_BITS:',
        'if False:',
    ),
    Mutation(
        'shutdown: counts from when the process notices the signal',
        'crankchute/platform/stops_test.py',
        'crankchute/core/shutdown_admission.py',
        'job.arrived_ms <= self.schedule.unaware_ms',
        'job.arrived_ms <= self.schedule.known_ms',
    ),
    Mutation(
        'shutdown: an error in the stop of peers keeps the process running',
        _SHUTDOWN_TEST,
        'crankchute/entry/shutdown.py',
        '                stack.callback(node.on_stopped)\n'
        '            node.peers.stop()\n',
        '                node.peers.stop()\n            node.on_stopped()\n',
    ),
    Mutation(
        'shutdown: a request that cannot be ended is logged at each check',
        _SHUTDOWN_TEST,
        'crankchute/entry/shutdown.py',
        '        if flow not in self._logged:\n',
        '        if flow:\n',
    ),
    Mutation(
        'a failure that could not be recorded has not run',
        _FAILING_RECORDS_TEST,
        _FORWARD_FLOW,
        '        self.may_have_run = self.may_have_run or exc.sent\n'
        '        self.attempt = None\n'
        '        self.avoided.add(attempt.placement.answering)\n'
        '        self._context.record_failed(self, attempt, exc)\n',
        '        self.attempt = None\n'
        '        self.avoided.add(attempt.placement.answering)\n'
        '        self._context.record_failed(self, attempt, exc)\n'
        '        self.may_have_run = self.may_have_run or exc.sent\n',
    ),
    Mutation(
        'an attempt that could not be freed leaves its call open',
        _FAILING_RECORDS_TEST,
        'crankchute/core/forward_attempt.py',
        '        if is_cancelled and self._call is not None:\n',
        '        if is_cancelled and self._call is None:\n',
    ),
)


def try_mutation(mutation):
    """Run the scenario or the test of a mutation on the changed code.

    Args:
      mutation: A Mutation.
    Returns:
      True if the scenario or the test detected the fault.
    Raises:
      ValueError: If the code to replace does not occur exactly once.
    """
    is_test = mutation.scenario.endswith('.py')
    module = _TEST_MODULE if is_test else _SCENARIO_MODULE
    with tempfile.TemporaryDirectory() as copy_root:
        for name in ('crankchute', 'bench', 'examples', 'tests'):
            shutil.copytree(ROOT / name, Path(copy_root) / name)
        _rewrite(Path(copy_root) / mutation.path, mutation)
        completed = subprocess.run(  # noqa: S603
            [sys.executable, '-m', *module, mutation.scenario],
            cwd=copy_root,
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
    if is_test:
        return completed.returncode == 1
    return completed.stdout.startswith('broken')


def main():
    """Try all mutations, or those whose title contains the arguments."""
    survivors = 0
    title_part = ' '.join(sys.argv[1:])
    for mutation in MUTATIONS:
        if title_part not in mutation.title:
            continue
        is_detected = try_mutation(mutation)
        survivors += not is_detected
        word = 'found' if is_detected else 'SURVIVED'
        print(f'{word:9}{mutation.title} ({mutation.scenario})', flush=True)
    return 1 if survivors else 0


def _rewrite(path, mutation):
    text = path.read_text(encoding='utf-8')
    if text.count(mutation.replaced) != 1:
        raise ValueError(
            f'{mutation.title}: the code to replace does not occur once'
        )
    changed = text.replace(mutation.replaced, mutation.replacement)
    path.write_text(changed, encoding='utf-8')


if __name__ == '__main__':
    sys.exit(main())
