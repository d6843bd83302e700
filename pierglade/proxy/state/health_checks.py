"""Health checks, and the load reports of backends."""

from pierglade.settings.platform import load_from_text


class HealthChecks:
    """Checks the health of backends and passes their load reports on."""

    def __init__(self, step, balancers, endpoints, upstream):
        self.step = step
        self.balancers = balancers
        self.endpoints = endpoints
        self.upstream = upstream

    def uses_reports(self, reports):
        """Whether load reports come this way and are used: each costs CPU time."""
        return (
            self.balancers.settings.load_report_source == reports and self.balancers.current.learns
        )

    def load_reported(self, link, text):
        """Passes the load report of a backend on, if it can be read."""
        load = load_from_text(bytes(text).decode("latin-1"))
        if load is not None:
            self.balancers.current.load_reported(self.step.now, link.backend.name, load)

    def start(self, name):
        """Begins a health check on a connection of its own."""
        backend = self.endpoints.records.get(name)
        if backend is None or backend.probed_on is not None or self.endpoints.is_draining(backend):
            return  # One at a time: a silent backend must not fill up with health checks.
        link = self.upstream.open(backend)
        if link is None:
            return self._notify(name, False, 0)
        link.probing, backend.probed_on = True, link
        self.upstream.watch(link)

    def finished(self, link, good):
        """The health check on a connection has its result."""
        link.probing, link.backend.probed_on = False, None
        self._notify(link.backend.name, good, self.step.now - link.since)

    def _notify(self, name, good, took):
        for node in (*self.balancers.earlier, self.balancers.current):
            node.health_checked(self.step.now, name, good, took)
