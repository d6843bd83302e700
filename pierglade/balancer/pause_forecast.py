"""When each backend is likely to pause next, from its past pauses and the work done between them.

Two regressions: one from the number of a pause to the work done until it, one from work to time.
Moments and spans are tenths of a millisecond; the unit of work is one successful answer. No I/O.
"""

from collections import deque

# Answers that the regression from work to time rests on, by how regularly a backend pauses.
WINDOW_REGULAR, WINDOW_MEDIUM, WINDOW_IRREGULAR = 3000, 300, 30
# Coefficients of variation of the work between pauses that bound these three bands.
VARIATION_REGULAR, VARIATION_IRREGULAR = 0.1, 1.0
# Enough pauses to tell a band, few enough to follow a change within a minute.
PAUSES_KEPT = 30
# Two pauses make a line, the third can contradict it.
PAUSES_NEEDED = 3
# 1.5 s; a longer stretch is an outage and teaches the forecast nothing.
LONGEST_PAUSE = 15000
# 200 ms; mean pause assumed before one was seen, that of a long garbage collection.
INITIAL_PAUSE = 2000

# The arrays of `PauseForecast`, by name, and what a process that nothing is known of begins with.
INITIAL = dict(
    answered=0,
    samples=(),
    sums=(0, 0, 0, 0),
    window=WINDOW_MEDIUM,
    pauses=(),
    mean_pause=INITIAL_PAUSE,
    next_pause_answered=None,
    next_pause_at=None,
)


class PauseForecast:
    """The forecast of all backends: one array for each figure, under the backends' dense index.

    Other parts may read the arrays and change nothing in them.
    """

    def __init__(self) -> None:
        self.answered: list[int] = []
        """Successful answers of the process: the work it has done."""
        self.samples: list = []
        """Moments of the last answers, at most `window` of them."""
        self.sums: list = []
        """Sums over the samples: work, time, work squared, work times time."""
        self.window: list[int] = []
        self.pauses: list = []
        """The work that had been done when each of the last pauses ended."""
        self.mean_pause: list[int] = []
        self.next_pause_answered: list[float | None] = []
        """The work at which the next pause is due."""
        self.next_pause_at: list[int | None] = []

    def add(self, backend: int) -> None:
        """Begins with nothing for `backend`: a new index, or a process that has started anew."""
        for name, initial in INITIAL.items():
            getattr(self, name)[backend : backend + 1] = [initial]

    def copy_from(self, before: "PauseForecast") -> None:
        """Takes over what `before` knows; nothing that changes later is shared."""
        for name in INITIAL:
            setattr(self, name, getattr(before, name).copy())
        self.samples = [past and past.copy() for past in before.samples]
        self.pauses = [past and past.copy() for past in before.pauses]
        self.sums = [list(sums) if type(sums) is list else sums for sums in before.sums]

    def set_aside(self, backend: int) -> None:
        """No pause came when it was due: there is no forecast until the next pause."""
        self.next_pause_at[backend] = self.next_pause_answered[backend] = None

    def answer_received(self, backend: int, now: int) -> None:
        """A successful answer of `backend` enters the regression from work to time."""
        self.answered[backend] += 1
        if not self.samples[backend]:  # In a large fleet most backends are never sent to.
            self.samples[backend], self.sums[backend] = deque(), [0, 0, 0, 0]
        answered, samples, sums = self.answered[backend], self.samples[backend], self.sums[backend]
        samples.append(now)  # Each is one unit of work after the one before.
        for n, each in enumerate((answered, now, answered * answered, answered * now)):
            sums[n] += each
        while len(samples) > self.window[backend]:
            old_work, old_now = answered - len(samples) + 1, samples.popleft()
            for n, each in enumerate((old_work, old_now, old_work * old_work, old_work * old_now)):
                sums[n] -= each
        if self.next_pause_answered[backend] is not None:
            self._forecast_moment(backend)

    def pause_ended(self, backend: int, lasted: int) -> None:
        """A pause enters the regressions, the band is checked, the next pause is forecast.

        One that lasted longer than LONGEST_PAUSE is ignored: hangs, deaths and quick errors last
        longer than pauses; kept out, they cannot skew the forecast.
        """
        if lasted > LONGEST_PAUSE:
            return
        self.mean_pause[backend] += (lasted - self.mean_pause[backend]) // 4
        pauses = self.pauses[backend] = self.pauses[backend] or deque(maxlen=PAUSES_KEPT)
        pauses.append(self.answered[backend])
        self.set_aside(backend)
        if len(pauses) < PAUSES_NEEDED:
            return
        self.window[backend] = _window(pauses)
        count = len(pauses)
        numbers, total = count * (count - 1) // 2, sum(pauses)
        slope = (count * sum(n * w for n, w in enumerate(pauses)) - numbers * total) / (
            count * sum(n * n for n in range(count)) - numbers * numbers
        )
        self.next_pause_answered[backend] = (total - slope * numbers) / count + slope * count
        self._forecast_moment(backend)

    def _forecast_moment(self, backend: int) -> None:
        """When the work will have been done at which the next pause is due."""
        count = len(self.samples[backend])
        works, times, squares, products = self.sums[backend]
        determinant = count * squares - works * works
        if determinant > 0:
            slope = (count * products - works * times) / determinant
            self.next_pause_at[backend] = int(
                (times - slope * works) / count + slope * self.next_pause_answered[backend]
            )


def _window(pauses: deque) -> int:
    """How many answers to look back on, by how regularly the pauses came."""
    gaps = [after - before for before, after in zip(pauses, list(pauses)[1:], strict=False)]
    mean = sum(gaps) / len(gaps)
    deviation = (sum((gap - mean) ** 2 for gap in gaps) / len(gaps)) ** 0.5
    variation = deviation / mean if mean else VARIATION_IRREGULAR
    if variation <= VARIATION_REGULAR:
        return WINDOW_REGULAR
    return WINDOW_IRREGULAR if variation >= VARIATION_IRREGULAR else WINDOW_MEDIUM
