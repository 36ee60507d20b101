"""Restores of the store from an older copy during a soak run.

They are drawn apart from the plan of faults, so that a seed keeps its plan,
and do not occur in the runs of regressions, which have fewer checks during
such a fault.
"""

import gevent

from wigeonrouter.soak import _faults

_GAP_S = (1.0, 5.0)
_COPY_AGE_S = (0.5, 6.0)
_OUTAGE_S = (0.1, 2.0)
# Time in which the operator and the servers write again what was lost.
_REWRITE_S = 2.0
# A restored store removes registrations that nobody renews after this time.
_COPY_LAPSE_S = 4.5


def restore_store(environment, rng):
    """Restore the store again and again, until it is killed."""
    while True:
        gevent.sleep(rng.uniform(*_GAP_S))
        copy = environment.store.copy()
        gevent.sleep(rng.uniform(*_COPY_AGE_S))
        with _faults.recording_fault(environment, store_only=True):
            environment.store.refusing = True
            gevent.sleep(rng.uniform(*_OUTAGE_S))
            environment.store.restore(copy)
            environment.store.refusing = False
            gevent.sleep(rng.uniform(0, _REWRITE_S))
            environment.write_operator_entries_again()
            environment.restore_registrations()
        gevent.spawn_later(_COPY_LAPSE_S, environment.remove_lapsed)
