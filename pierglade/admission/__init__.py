"""Who is admitted and what is rejected before it costs anything; no I/O, `now` is passed in.

Not for which backend serves a request, which is the balancer's. Start with
`connection_admission.ConnectionAdmission` and `load_shedder.LoadShedder`.
"""
