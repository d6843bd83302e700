"""What the rules are judged by, taken from the plan of a stand-in fleet."""

from pierglade.audit.rules import AuditSettings


def settings_of_plan(plan, grace_ms, budget):
    """The settings that the plan of a stand-in fleet states.

    `budget`: (window in s, minimum, ratio) of the retry budget, or None.
    """
    kind = plan.kind[0]
    work = sum(o.share * o.work_ms for o in plan.request_class) / sum(
        o.share for o in plan.request_class
    )
    able = kind.cores * kind.speed * 1000 / work if kind.cores and kind.cold_from < 1 else 0.0
    return AuditSettings(
        request_classes={
            o.name: (o.repeats.replace("-", "_"), o.group, o.window_ms, o.hard_limit_ms)
            for o in plan.request_class
        },
        grace_ms=grace_ms,
        places={name: (place.zone, place.cell) for name, place in plan.names()},
        cold_ms=kind.cold_for_s * 1000,
        cold_from=kind.cold_from,
        tip_multiple=kind.tip_multiple,
        tip_ms=kind.tip_s * 1000,
        able_per_s=able,
        span_ms=budget[0] * 1000 if budget else 0.0,
        most=int(budget[1]) if budget else 0,
        share=budget[2] if budget else 0.0,
    )
