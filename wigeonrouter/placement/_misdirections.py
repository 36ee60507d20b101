"""Decides when a server is used again after another one answered for it.

Load pattern: a server is replaced in place and registers before the old
process has ended, which answers at their address for a while; or an entry is
stale, and its address belongs to another server. Health checks tell when the
registered server answers. Where they do not name the server that answers, a
request tries it at intervals.
"""

# A stale entry costs a node one attempt in this time at most.
TRIAL_INTERVAL_S = 1.0


class Misdirections:
    """Owns the registrations for which another server has answered.

    A registration is any hashable key; times are monotonic seconds.
    """

    def __init__(self):
        # Dict from registration to the time of its next trial.
        self._next_trials = {}

    def __contains__(self, registration):
        return registration in self._next_trials

    def __iter__(self):
        return iter(tuple(self._next_trials))

    def __len__(self):
        return len(self._next_trials)

    def record_other(self, registration, now):
        """Record that another server answered.

        Returns:
          Whether this is news.
        """
        is_news = registration not in self._next_trials
        self._next_trials[registration] = now + TRIAL_INTERVAL_S
        return is_news

    def record_own(self, registration):
        """Record that the registered server answered.

        Returns:
          Whether this is news.
        """
        return self._next_trials.pop(registration, None) is not None

    def record_trial(self, registration, now):
        """Record that a request is sent there to find out."""
        if registration in self._next_trials:
            self._next_trials[registration] = now + TRIAL_INTERVAL_S

    def is_excluded(self, registration, now):
        """Return whether no request may be sent there now."""
        next_trial = self._next_trials.get(registration)
        return next_trial is not None and now < next_trial

    def retain(self, registrations):
        """Forget all but these registrations."""
        for registration in self._next_trials.keys() - set(registrations):
            del self._next_trials[registration]
