"""Assignment of proxies to readers: one reader at a time counts a proxy's reports."""

from hypothesis import given, settings
from hypothesis import strategies as st

from quillstep.load_reports.messages import AddProxy, ProxyJoined, ReleaseProxy
from quillstep.load_reports.readers.ownership import ReportOwnership

JOINED = ProxyJoined("p", 3, "a", "x")


def run_commands(ownership, commands, readers):
    """Executes the commands on simulated readers, with their replies, until none is left."""
    while commands:
        reader, message = commands.pop(0)
        if isinstance(message, ReleaseProxy):
            commands += ownership.proxy_released(reader, message.name, readers[reader].pop(message.name, None))
        elif isinstance(message, AddProxy):
            readers[reader][message.name] = message.account or f"from {reader}"
    return readers


def test_a_proxy_is_counted_by_one_reader_at_a_time_and_its_account_moves_with_it():
    ownership, readers = ReportOwnership(), [{}, {}]
    run_commands(ownership, ownership.stream_opened(0, "p"), readers)
    assert readers == [{}, {}]
    run_commands(ownership, ownership.add_proxy(JOINED), readers)
    run_commands(ownership, ownership.stream_opened(1, "p"), readers)
    assert readers == [{}, {"p": "from 0"}]
    run_commands(ownership, ownership.remove_proxy("p"), readers)
    assert readers == [{}, {}]
    run_commands(ownership, ownership.add_proxy(JOINED), readers)
    assert readers == [{}, {"p": "from 0"}]
    ownership.reader_ended(1)
    readers[1].clear()
    run_commands(ownership, ownership.stream_opened(0, "p"), readers)
    assert readers == [{"p": "from 0"}, {}]


@settings(max_examples=80, deadline=None)
@given(st.lists(st.sampled_from(["opened at 0", "opened at 1", "join", "leave", "0 ends", "answer"]), max_size=40))
def test_no_sequence_of_events_makes_two_readers_count_a_proxy(steps):
    ownership, commands = ReportOwnership(), []
    counting: list[bool] = [False, False]
    for step in [*steps, *["answer"] * 40]:
        if step.startswith("opened at"):
            commands += ownership.stream_opened(int(step[-1]), "p")
        elif step == "join":
            commands += ownership.add_proxy(ProxyJoined("p", 1, "a", "x"))
        elif step == "leave":
            commands += ownership.remove_proxy("p")
        elif step == "0 ends":
            ownership.reader_ended(0)
            counting[0] = False
            commands = [command for command in commands if command.reader != 0]
        elif commands:
            reader, message = commands.pop(0)
            if isinstance(message, ReleaseProxy):
                counting[reader] = False
                commands += ownership.proxy_released(reader, "p", "account")
            elif isinstance(message, AddProxy):
                counting[reader] = True
        assert sum(counting) <= 1
    assert not commands
