"""Commands under the names that they had before: hidden, they print one line with the new name and do the same."""

from collections.abc import Callable

import click


def add_alias(group: click.Group, old_name: str, command: click.Command) -> None:
    """Adds a hidden command that names the new one on standard error, and does the same."""
    if isinstance(command, click.Group):
        alias: click.Command = click.Group(old_name, commands=command.commands, callback=lambda: _announce(command))
    else:
        alias = click.Command(old_name, params=command.params, callback=_announcing(command))
    alias.help, alias.hidden = command.help, True
    group.add_command(alias)


def _announcing(command: click.Command) -> Callable[..., object]:
    def run(**parameters: object) -> object:
        _announce(command)
        return click.get_current_context().invoke(command, **parameters)

    return run


def _announce(command: click.Command) -> None:
    context = click.get_current_context()
    program = context.parent.command_path if context.parent else "quillstep"
    click.echo(f"quillstep: {program} {context.info_name} is now {program} {command.name}", err=True)
