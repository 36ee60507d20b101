"""Leaves out servers that another one answers for, until they answer.

A request that is misdirected, or a health check, shows that another instance
answers at the address of a registration. The health check of each of these
servers is repeated until the registered one answers or the entry is gone.
"""

import gevent

from wigeonrouter import placement

# With the timeout of a check, a server that is back is used within a second.
_CHECK_INTERVAL_S = 0.4


class MisdirectedServers:
    """Owns what is known of misdirected requests of one service.

    Args:
      views: ServerViews, which are told which servers to leave out.
      events: events.EventLog.
      check: function that sends health checks to some instances and waits for
        the results, which it hands to on_other() or on_own().
      clock: monotonic clock, seconds.
    """

    def __init__(self, *, views, events, check, clock):
        self._views = views
        self._events = events
        self._check = check
        self._clock = clock
        self._misdirections = placement.Misdirections()
        self._check_task = None

    def configure(self):
        """Forget the registrations that have changed or are gone."""
        self._misdirections.retain(
            _key(registration) for registration in self._views.registrations
        )
        self._update_views()

    def on_other(self, registration):
        """Record that another server has answered for a registration."""
        if not self._is_current(registration):
            return
        if self._misdirections.record_other(_key(registration), self._clock()):
            self._events.event(
                "server-misdirected", instance=registration.instance
            )
        self._update_views()
        if self._check_task is None or self._check_task.ready():
            self._check_task = gevent.spawn(self._check_repeatedly)

    def on_own(self, registration):
        """Record that the registered server itself has answered."""
        if self._misdirections.record_own(_key(registration)):
            self._events.event("server-back", instance=registration.instance)
            self._update_views()

    def on_response(self, registration, metadata):
        """Record which server has responded to a request.

        A rejection that names no instance does not tell: a full server may
        reject before it looks at whom the request is for.

        Args:
          metadata: messages.ResponseMetadata of the response.
        """
        if metadata.misdirected:
            self.on_other(registration)
        elif metadata.may_be_from(registration.instance) and (
            metadata.instance or not metadata.not_executed
        ):
            self.on_own(registration)

    def on_sent(self, registration):
        """Record that a request is sent to a server."""
        key = _key(registration)
        if key in self._misdirections:
            self._misdirections.record_trial(key, self._clock())
            self._update_views()

    def _is_current(self, registration):
        """Return whether a registration has not changed in the meantime."""
        return _key(registration) in {
            _key(current) for current in self._views.registrations
        }

    def _check_repeatedly(self):
        while self._misdirections:
            gevent.sleep(_CHECK_INTERVAL_S)
            self._check([key[0] for key in self._misdirections])
            self._update_views()

    def _update_views(self):
        now = self._clock()
        self._views.set_misdirected(
            {
                key[0]
                for key in self._misdirections
                if self._misdirections.is_excluded(key, now)
            }
        )


def _key(registration):
    """Return what tells one process at one address from another one."""
    return (
        registration.instance,
        registration.started_ms,
        registration.address,
    )
