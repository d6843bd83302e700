"""Admission control: rejects connections and requests before they consume resources.

Performs no I/O; the current time is passed in as `now`. Choosing the backend of a request is the
balancer's part. Start with `connection_admission.ConnectionAdmission` and
`load_shedder.LoadShedder`.
"""
