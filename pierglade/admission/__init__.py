"""Admission control: rejects connections and requests before they consume resources.

Performs no I/O; the current time is passed in as `now`. The balancer chooses the backend of a
request. Start with `connection_admission.ConnectionAdmission` and `load_shedder.LoadShedder`.
"""
