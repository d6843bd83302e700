"""Health checks and load reports of backends."""

from pierglade.settings.platform import parse_load_report


class HealthChecks:
    """Runs health checks and passes load reports to the balancer."""

    def __init__(self, step, balancers, endpoints, upstream):
        self.step = step
        self.balancers = balancers
        self.endpoints = endpoints
        self.upstream = upstream

    def uses_reports(self, source):
        """Returns whether load reports of `source` are used; parsing others would waste CPU."""
        return (
            self.balancers.settings.load_report_source == source
            and self.balancers.current.learns_limit
        )

    def load_reported(self, connection, text):
        """Passes a backend's load report to the balancer; ignores an unreadable one."""
        load = parse_load_report(bytes(text).decode("latin-1"))
        if load is not None:
            self.balancers.current.load_reported(self.step.now, connection.backend.name, load)

    def start(self, name):
        """Starts a health check on a connection of its own."""
        backend = self.endpoints.records.get(name)
        if (
            backend is None
            or backend.health_check_connection is not None
            or self.endpoints.is_draining(backend)
        ):
            return  # Health checks of an unresponsive backend must not pile up.
        connection = self.upstream.open(backend)
        if connection is None:
            return self._notify(name, False, 0)
        connection.is_health_check, backend.health_check_connection = True, connection
        self.upstream.restart_timeout(connection)

    def finished(self, connection, is_healthy):
        """Reports the result of the health check on a connection."""
        connection.is_health_check, connection.backend.health_check_connection = False, None
        self._notify(connection.backend.name, is_healthy, self.step.now - connection.since)

    def _notify(self, name, is_healthy, latency):
        for balancer in (*self.balancers.earlier, self.balancers.current):
            balancer.health_checked(self.step.now, name, is_healthy, latency)
