"""What the gap between orders alone promises of the limit of messages, by arithmetic (z3, real numbers).

Orders come at least `gap` apart; each leaves the channel no more than `delay` later; `joins` messages come on top.
Asked is whether more than `most` can leave for one proxy within the limit's time.  All times are parts of that time.
"""

import z3


def overrun(most: int, gap: float, delay: float, joins: int) -> list[float] | None:
    """When the messages would leave, if more than `most` can within 1; None: they can't."""
    count = most + 1 - joins
    orders = [z3.Real(f"order{at}") for at in range(count)]
    leaves = [z3.Real(f"leaves{at}") for at in range(count)]
    solver = z3.Solver()
    for at in range(count):
        solver.add(leaves[at] >= orders[at], leaves[at] <= orders[at] + delay)
        if at:
            solver.add(orders[at] - orders[at - 1] >= gap, leaves[at] >= leaves[at - 1])
    solver.add(orders[0] == 0, leaves[-1] - leaves[0] < 1)
    if solver.check() != z3.sat:
        return None
    found = solver.model()
    return [float(found.eval(each, model_completion=True).as_fraction()) for each in leaves]


def safe_delay(most: int, gap: float, joins: int, steps: int = 200) -> float:
    """The longest delay of the channel at which the gap suffices, to one in `steps` of the limit's time."""
    low, high = 0, steps
    while low < high:
        middle = (low + high + 1) // 2
        if overrun(most, gap, middle / steps, joins) is None:
            low = middle
        else:
            high = middle - 1
    return low / steps
