"""Null object for the QuotaClient of a proxy without quotas."""


class NoQuotas:
    """Stands for a QuotaClient where no tenant has a limit."""

    def reserve(self, context):
        """Let each request pass."""

    def confirm(self, context):
        """Return that the request may be sent."""
        return True

    is_valid = confirm

    def on_sent(self, context):
        """Record nothing."""

    release = on_sent

    def on_attempt_end(self, context, *, may_have_run):
        """Record nothing."""


NO_QUOTAS = NoQuotas()
