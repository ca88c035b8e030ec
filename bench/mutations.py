"""Shows that the promises' tests can fail: each guard is taken out in turn.

A copy of the code gets one change that disables a guard; the scenario that is
meant for it must then find its promise broken.  Run it with
`python -m bench.mutations`.
"""

import shutil
import subprocess  # noqa: S404
import sys
import tempfile
from pathlib import Path

from bench.cluster import ROOT

_LONGEST_S = 150
_SCENARIO_MODULE = ('bench.faults', '--rounds=1')
_TEST_MODULE = ('pytest', '-x', '-c', '/dev/null', '--rootdir=.')
_COMPLETIONS = 'crankchute/core/completion_machine_test.py'
_CALLS = 'crankchute/core/once_machine_test.py'
_FORWARD = 'crankchute/core/forward_flow.py'
_MEMORY = 'crankchute/core/reservations_test.py'
_GROUP = 'crankchute/core/group_flow.py'


class Mutation:
    """One guard that is taken out, and the scenario that must notice."""

    __slots__ = ('path', 'replaced', 'replacement', 'scenario', 'title')

    def __init__(self, title, scenario, path, replaced, replacement):
        """Create the mutation.

        Args:
          title: What is taken out.
          scenario: A part of the scenario's name, or the path of a test.
          path: The file, relative to the repository.
          replaced: The code that is replaced, once in the file.
          replacement: The code that takes its place.
        """
        self.title = title
        self.scenario = scenario
        self.path = path
        self.replaced = replaced
        self.replacement = replacement


MUTATIONS = (
    Mutation(
        'requests are not ended at their deadline',
        'frozen and woken',
        'crankchute/core/job.py',
        'return self.deadline_ms - now_ms',
        'return self.deadline_ms - now_ms + 99_999',
    ),
    Mutation(
        'frames are passed on after a sleep past the deadline',
        _COMPLETIONS,
        _FORWARD,
        'if not self.ended and self.job.remaining_ms(self.now_ms()) < 0:',
        'if not self.ended and self.job.remaining_ms(self.now_ms()) < -99_999:',
    ),
    Mutation(
        'engines are not told that the caller is gone',
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
        'a lost answer is taken for a call that did not run',
        'not run is true',
        _FORWARD,
        '        if self._may_have_run:\n',
        '        if self._may_have_run and self.job.may_retry:\n',
    ),
    Mutation(
        'the ledger lets a key start again',
        'at most once',
        'crankchute/core/request_keys.py',
        'return Claim.ENDED if entry.ended else Claim.RUNNING',
        'return Claim.FIRST',
    ),
    Mutation(
        'any instance dispatches any key',
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
        'a stop does not wait for what is in progress',
        'planned stop',
        'crankchute/entry/node.py',
        'if active_calls or self.http_server.open_exchanges:',
        'if active_calls < 0:',
    ),
    Mutation(
        'a starting instance does not take what peers have',
        'configuration',
        'crankchute/entry/peering.py',
        'if not is_behind or name in self._pulling or not address:',
        "if name == 'config' and not self._stores[name].seen_revision:",
    ),
    Mutation(
        'an ended attempt stays counted',
        _COMPLETIONS,
        'crankchute/core/forward_attempt.py',
        '            self.backend.in_flight -= 1\n',
        '            self.backend.in_flight -= 0\n',
    ),
    Mutation(
        'a group keeps its holds',
        _COMPLETIONS,
        _GROUP,
        '            self._release(member.backend, self._group)\n',
        '            member.is_held = False\n',
    ),
    Mutation(
        'a hold that comes too late is kept',
        _COMPLETIONS,
        _GROUP,
        '                self._release(member.backend, group)\n',
        '                member.is_held = False\n',
    ),
    Mutation(
        'a release before an order that is under way is the last',
        _MEMORY,
        'crankchute/core/lease.py',
        'is_conclusive=not self._pending_reserves',
        'is_conclusive=True',
    ),
    Mutation(
        'an order carried out late is not looked for',
        _MEMORY,
        'crankchute/core/lease.py',
        'self._late_until_ms = now_ms + _MAX_ORDER_DELAY_MS',
        'self._late_until_ms = now_ms',
    ),
    Mutation(
        'a release without an answer is not sent again',
        _MEMORY,
        'crankchute/core/lease.py',
        'if self._pending_reserves or self._desk.now_ms() < until_ms:',
        'if self._pending_reserves:',
    ),
    Mutation(
        'memory is renewed without use',
        _MEMORY,
        'crankchute/core/reservations.py',
        'if self._is_start_overdue() and not self._is_used:',
        'if self._ended:',
    ),
    Mutation(
        'an attempt keeps memory that it does not use',
        _MEMORY,
        'crankchute/core/forward_attempt.py',
        'if self._reservation is None or self.started:',
        'if self._reservation is None or not self.started:',
    ),
    Mutation(
        'late timers go before what arrived',
        'crankchute/adapters/timers_test.py',
        'crankchute/adapters/timers.py',
        'if self._must_read_first():',
        'if self._must_read_first() is None:',
    ),
    Mutation(
        'a lost release of a hold is not sent again',
        'crankchute/core/group_flow_test.py',
        'crankchute/core/hold_release.py',
        'if context.now_ms() < until_ms:',
        'if context.now_ms() > until_ms:',
    ),
    Mutation(
        'a gap in a stream is passed over',
        _COMPLETIONS,
        'crankchute/core/frames.py',
        'if frame.offset == self.offset:',
        'if frame.offset >= self.offset:',
    ),
    Mutation(
        'a sleeper is not ended when it wakes',
        _COMPLETIONS,
        _FORWARD,
        'self._context.after(remaining_ms, self._on_deadline)',
        'self._context.after(remaining_ms * 9, self._on_deadline)',
    ),
    Mutation(
        'a sent call is sent again',
        _CALLS,
        _FORWARD,
        'may_retry = self.job.may_retry and is_safe',
        'may_retry = is_safe',
    ),
    Mutation(
        'an expired key may start',
        _CALLS,
        'crankchute/core/request_keys.py',
        'if not now_ms < key.expiry_ms <= now_ms + self._max_lifetime_ms:',
        'if key.expiry_ms > now_ms + self._max_lifetime_ms:',
    ),
    Mutation(
        'an invalid revision is taken',
        'configuration',
        'crankchute/core/config_loader.py',
        '    if findings:\n        raise ConfigError(findings)\n'
        '    return config',
        '    return config',
    ),
    Mutation(
        'a server that says that it leaves is asked on',
        'crankchute/platform/server_words_test.py',
        'crankchute/core/server_notice.py',
        'if notice.is_leaving:',
        'if notice is None:',
    ),
    Mutation(
        'servers that want rest are asked',
        'crankchute/platform/resting_servers_test.py',
        'crankchute/core/choosers.py',
        'now_ms >= backend.paused_until_ms',
        'True',
    ),
    Mutation(
        'servers whose limit is used up are asked',
        'crankchute/platform/limited_servers_test.py',
        'crankchute/core/choosers.py',
        'if has_permit(backend.identity)',
        'if backend',
    ),
    Mutation(
        'each instance takes a whole limit for itself',
        'crankchute/platform/limited_servers_test.py',
        'crankchute/core/limit_shares.py',
        'return self.share_factor / len(holders) if instance in holders else 0',
        'return 1',
    ),
    Mutation(
        'a part counts as soon as it is seen',
        'crankchute/core/limit_shares_test.py',
        'crankchute/core/limit_shares.py',
        'self._clock.now_ms() - WINDOW_MS',
        'self._clock.now_ms()',
    ),
    Mutation(
        'who is cut off takes over what others had',
        'crankchute/core/limit_shares_test.py',
        'crankchute/core/limit_shares.py',
        'if reachable_count > len(unreachable):',
        'if reachable_count:',
    ),
    Mutation(
        'an answer that crossed ends a limit',
        'crankchute/core/advertised_limits_test.py',
        'crankchute/core/advertised_limits.py',
        'if report.loosens(known) and sent_ms < known.at_ms:',
        'if report.loosens(known) and known is None:',
    ),
    Mutation(
        'a word grows younger on its way',
        'crankchute/core/advertised_limits_test.py',
        'crankchute/core/advertised_limits.py',
        'if report.source == known.source:',
        'if report is known:',
    ),
    Mutation(
        'orders and questions do not count',
        'crankchute/core/permit_lending_test.py',
        'crankchute/core/limit_permits.py',
        'self._refill(server).take(self._rate(server))',
        'self._refill(server)',
    ),
    Mutation(
        'a turn that is lent does not count',
        'crankchute/core/permit_lending_test.py',
        'crankchute/core/permit_lending.py',
        'permits.record_sent(best)',
        'permits.available(best)',
    ),
    Mutation(
        'a request that is held is sent with a turn of others',
        'crankchute/core/request_placement_test.py',
        'crankchute/core/request_placement.py',
        'if isinstance(choice, Placement) or choice.code != PAUSED_OR_LIMITED:',
        'if isinstance(choice, Placement):',
    ),
    Mutation(
        'nobody asks whether a limit goes on',
        'crankchute/core/limit_permits_test.py',
        'crankchute/core/limit_probes.py',
        'self._send_probe(limit.server)',
        'self._probed_ms[limit.server] = now_ms',
    ),
    Mutation(
        'a rest ends with an entry that lapses',
        'crankchute/core/server_pauses_test.py',
        'crankchute/core/forward_fleet.py',
        'backend.pause_until(self.rests.until_ms(listed.identity))',
        'backend.pause_until(0)',
    ),
    Mutation(
        'revisions of an older copy are compared as they are',
        'crankchute/platform/store_era_test.py',
        'crankchute/platform/store_position.py',
        'return (era << _REVISION_BITS) + revision',
        'return revision',
    ),
    Mutation(
        'servers that left are back with an older copy',
        'crankchute/platform/store_era_test.py',
        'crankchute/platform/published.py',
        'may_be_old=is_restored',
        'may_be_old=False',
    ),
    Mutation(
        'attempts after an end count for one with it',
        'crankchute/core/crash_attribution_test.py',
        'crankchute/core/crash_attribution.py',
        'if not count or begun_ms > last_ms:',
        'if not count:',
    ),
)


def try_mutation(mutation):
    """Run a scenario or a test on code without a guard.

    Args:
      mutation: A Mutation.
    Returns:
      True if the promise was found broken.
    Raises:
      ValueError: If the code to replace is not there exactly once.
    """
    is_test = mutation.scenario.endswith('.py')
    module = _TEST_MODULE if is_test else _SCENARIO_MODULE
    with tempfile.TemporaryDirectory() as folder:
        for name in ('crankchute', 'bench', 'examples'):
            shutil.copytree(ROOT / name, Path(folder) / name)
        _rewrite(Path(folder) / mutation.path, mutation)
        done = subprocess.run(  # noqa: S603
            [sys.executable, '-m', *module, mutation.scenario],
            cwd=folder,
            capture_output=True,
            text=True,
            timeout=_LONGEST_S,
            check=False,
        )
    if is_test:
        return done.returncode == 1
    return done.stdout.startswith('broken')


def main():
    """Try every mutation, or those whose title has the given words."""
    survived = 0
    wanted = ' '.join(sys.argv[1:])
    for mutation in MUTATIONS:
        if wanted not in mutation.title:
            continue
        is_found = try_mutation(mutation)
        survived += not is_found
        word = 'found' if is_found else 'SURVIVED'
        print(f'{word:9}{mutation.title} ({mutation.scenario})', flush=True)
    return 1 if survived else 0


def _rewrite(path, mutation):
    text = path.read_text(encoding='utf-8')
    if text.count(mutation.replaced) != 1:
        raise ValueError(f'{mutation.title}: the code has changed')
    changed = text.replace(mutation.replaced, mutation.replacement)
    path.write_text(changed, encoding='utf-8')


if __name__ == '__main__':
    sys.exit(main())
