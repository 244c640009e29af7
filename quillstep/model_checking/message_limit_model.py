"""Whether the interval between updates alone enforces the message limit, in real arithmetic (z3).

Updates are at least `interval` apart; each leaves the update channel at most `delay` later; `joins` more messages are
sent.  The question is whether more than `max_messages` can leave for one proxy within the limit's window.  All times
are fractions of that window.
"""

import z3


def overrun(max_messages: int, interval: float, delay: float, joins: int) -> list[float] | None:
    """Returns the times at which more than `max_messages` messages leave within the window; None if they cannot."""
    count = max_messages + 1 - joins
    updates = [z3.Real(f"update{index}") for index in range(count)]
    departures = [z3.Real(f"leaves{index}") for index in range(count)]
    solver = z3.Solver()
    for index in range(count):
        solver.add(departures[index] >= updates[index], departures[index] <= updates[index] + delay)
        if index:
            solver.add(updates[index] - updates[index - 1] >= interval, departures[index] >= departures[index - 1])
    solver.add(updates[0] == 0, departures[-1] - departures[0] < 1)
    if solver.check() != z3.sat:
        return None
    solution = solver.model()
    return [float(solution.eval(each, model_completion=True).as_fraction()) for each in departures]


def max_safe_delay(max_messages: int, interval: float, joins: int, steps: int = 200) -> float:
    """Returns the longest channel delay at which the interval suffices, in multiples of 1/`steps` of the window."""
    low, high = 0, steps
    while low < high:
        middle = (low + high + 1) // 2
        if overrun(max_messages, interval, middle / steps, joins) is None:
            low = middle
        else:
            high = middle - 1
    return low / steps
