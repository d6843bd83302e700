"""Forecasts the next pause of each backend from its past pauses and the work between them.

Two regressions are used: one from the number of a pause to the work completed before it, one from
work to time. Times and durations are in ticks (tenths of a millisecond); the unit of work is one
successful answer. No I/O.
"""

from collections import deque

# Number of answers used by the regression from work to time, by how regularly a backend pauses.
REGULAR_WINDOW, MEDIUM_WINDOW, IRREGULAR_WINDOW = 3000, 300, 30
# Coefficients of variation of the work between pauses that separate these three windows.
MAX_REGULAR_VARIATION, MIN_IRREGULAR_VARIATION = 0.1, 1.0
# Maximum number of stored pauses: enough to determine the variation, few enough to adapt to a
# change within a minute.
MAX_STORED_PAUSES = 30
# Number of pauses needed for a forecast. Two define a line; the third can contradict it.
MIN_PAUSES = 3
# Ticks (1.5 s). A longer silence is an outage and is not used for the forecast.
MAX_PAUSE = 15000
# Ticks (200 ms). Mean pause assumed before the first one, that of a long garbage collection.
INITIAL_PAUSE = 2000

# Arrays of `PauseForecast`, with the values for a process without history.
INITIAL = dict(
    answered=0,
    samples=(),
    sums=(0, 0, 0, 0),
    window=MEDIUM_WINDOW,
    pauses=(),
    mean_pause=INITIAL_PAUSE,
    next_pause_answered=None,
    next_pause_at=None,
)


class PauseForecast:
    """The pause forecasts of all backends, one array per figure, indexed by backend.

    Other modules read the arrays and never modify them.
    """

    def __init__(self) -> None:
        self.answered: list[int] = []
        """Successful answers of the process: the work that it has completed."""
        self.samples: list = []
        """Times of the last answers, at most `window` of them."""
        self.sums: list = []
        """Sums over the samples: work, time, work squared, work times time."""
        self.window: list[int] = []
        self.pauses: list = []
        """Work completed at the end of each of the last pauses."""
        self.mean_pause: list[int] = []
        self.next_pause_answered: list[float | None] = []
        """Work at which the next pause is due."""
        self.next_pause_at: list[int | None] = []

    def add(self, backend: int) -> None:
        """Resets the forecast of `backend`, for a new index or a restarted process."""
        for name, initial in INITIAL.items():
            getattr(self, name)[backend : backend + 1] = [initial]

    def copy_from(self, previous: "PauseForecast") -> None:
        """Copies the state of `previous`; shares no mutable data with it."""
        for name in INITIAL:
            setattr(self, name, getattr(previous, name).copy())
        self.samples = [values and values.copy() for values in previous.samples]
        self.pauses = [values and values.copy() for values in previous.pauses]
        self.sums = [list(sums) if type(sums) is list else sums for sums in previous.sums]

    def discard_forecast(self, backend: int) -> None:
        """Discards the forecast until the next pause, because a forecast pause did not occur."""
        self.next_pause_at[backend] = self.next_pause_answered[backend] = None

    def record_answer(self, backend: int, now: int) -> None:
        """Adds a successful answer of `backend` to the regression from work to time."""
        self.answered[backend] += 1
        if not self.samples[
            backend
        ]:  # Allocated on first use: in a large fleet most backends receive no attempts.
            self.samples[backend], self.sums[backend] = deque(), [0, 0, 0, 0]
        answered, samples, sums = self.answered[backend], self.samples[backend], self.sums[backend]
        samples.append(now)  # Each answer is one unit of work after the previous one.
        for n, each in enumerate((answered, now, answered * answered, answered * now)):
            sums[n] += each
        while len(samples) > self.window[backend]:
            oldest_work, oldest_at = answered - len(samples) + 1, samples.popleft()
            for n, each in enumerate(
                (oldest_work, oldest_at, oldest_work * oldest_work, oldest_work * oldest_at)
            ):
                sums[n] -= each
        if self.next_pause_answered[backend] is not None:
            self._forecast_next_pause(backend)

    def pause_ended(self, backend: int, duration: int) -> None:
        """Adds a pause to the regressions, updates the window and forecasts the next pause.

        A pause longer than MAX_PAUSE is ignored: hangs, crashes and periods of fast errors last
        longer than pauses and would distort the forecast.
        """
        if duration > MAX_PAUSE:
            return
        self.mean_pause[backend] += (duration - self.mean_pause[backend]) // 4
        pauses = self.pauses[backend] = self.pauses[backend] or deque(maxlen=MAX_STORED_PAUSES)
        pauses.append(self.answered[backend])
        self.discard_forecast(backend)
        if len(pauses) < MIN_PAUSES:
            return
        self.window[backend] = _regression_window(pauses)
        count = len(pauses)
        numbers, total = count * (count - 1) // 2, sum(pauses)
        slope = (
            count * sum(number * work for number, work in enumerate(pauses)) - numbers * total
        ) / (count * sum(number * number for number in range(count)) - numbers * numbers)
        self.next_pause_answered[backend] = (total - slope * numbers) / count + slope * count
        self._forecast_next_pause(backend)

    def _forecast_next_pause(self, backend: int) -> None:
        """Computes the time at which the work before the next pause will be completed."""
        count = len(self.samples[backend])
        works, times, squares, products = self.sums[backend]
        determinant = count * squares - works * works
        if determinant > 0:
            slope = (count * products - works * times) / determinant
            self.next_pause_at[backend] = int(
                (times - slope * works) / count + slope * self.next_pause_answered[backend]
            )


def _regression_window(pauses: deque) -> int:
    """Returns how many answers the regression uses, by how regularly the pauses occurred."""
    gaps = [later - earlier for earlier, later in zip(pauses, list(pauses)[1:], strict=False)]
    mean = sum(gaps) / len(gaps)
    deviation = (sum((gap - mean) ** 2 for gap in gaps) / len(gaps)) ** 0.5
    variation = deviation / mean if mean else MIN_IRREGULAR_VARIATION
    if variation <= MAX_REGULAR_VARIATION:
        return REGULAR_WINDOW
    return IRREGULAR_WINDOW if variation >= MIN_IRREGULAR_VARIATION else MEDIUM_WINDOW
