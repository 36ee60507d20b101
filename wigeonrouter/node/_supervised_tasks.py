"""Tasks of a node that are restarted when they fail."""

import gevent

# Wait before a task that has ended or failed is started again.
_RESTART_DELAY_S = 0.25


class SupervisedTasks:
    """Owns the background tasks of a node.

    Args:
      events: events.EventLog.
    """

    def __init__(self, *, events):
        self._events = events
        self._tasks = []

    def start(self, name, function):
        """Run a function until killed; log its exceptions and restart it."""
        self._tasks.append(gevent.spawn(self._supervise, name, function))

    def kill(self):
        """End all tasks."""
        gevent.killall(self._tasks)

    def report_failure(self, name, error):
        """Log that a task has failed."""
        self._events.notice(
            "task-failed", task=name, error=f"{type(error).__name__}: {error}"
        )

    def _supervise(self, name, function):
        while True:
            try:
                function()
            except Exception as error:
                self.report_failure(name, error)
            gevent.sleep(_RESTART_DELAY_S)
