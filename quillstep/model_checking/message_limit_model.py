"""What the interval between updates alone promises of the limit of messages, by arithmetic (z3, real numbers).

Updates are at least `interval` apart; each leaves the update channel at most `delay` later; `joins` messages come on
top.  Asked is whether more than `max_messages` can leave for one proxy within the limit's window.  All times are
parts of that window.
"""

import z3


def overrun(max_messages: int, interval: float, delay: float, joins: int) -> list[float] | None:
    """Returns when the messages would leave, if more than `max_messages` can within 1; None: they cannot."""
    count = max_messages + 1 - joins
    updates = [z3.Real(f"update{index}") for index in range(count)]
    leaves = [z3.Real(f"leaves{index}") for index in range(count)]
    solver = z3.Solver()
    for index in range(count):
        solver.add(leaves[index] >= updates[index], leaves[index] <= updates[index] + delay)
        if index:
            solver.add(updates[index] - updates[index - 1] >= interval, leaves[index] >= leaves[index - 1])
    solver.add(updates[0] == 0, leaves[-1] - leaves[0] < 1)
    if solver.check() != z3.sat:
        return None
    found = solver.model()
    return [float(found.eval(each, model_completion=True).as_fraction()) for each in leaves]


def max_safe_delay(max_messages: int, interval: float, joins: int, steps: int = 200) -> float:
    """Returns the longest delay of the channel at which the interval suffices, to one in `steps` of the window."""
    low, high = 0, steps
    while low < high:
        middle = (low + high + 1) // 2
        if overrun(max_messages, interval, middle / steps, joins) is None:
            low = middle
        else:
            high = middle - 1
    return low / steps
