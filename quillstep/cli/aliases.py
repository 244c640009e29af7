"""Hidden aliases for commands under their earlier names; each prints one line with the new name, then runs it."""

from collections.abc import Callable

import click


def add_alias(group: click.Group, old_name: str, command: click.Command) -> None:
    """Adds a hidden alias that names the new command on standard error, then runs it."""
    if isinstance(command, click.Group):
        alias: click.Command = click.Group(
            old_name, commands=command.commands, callback=lambda: _print_new_name(command)
        )
    else:
        alias = click.Command(old_name, params=command.params, callback=_alias_callback(command))
    alias.help, alias.hidden = command.help, True
    group.add_command(alias)


def _alias_callback(command: click.Command) -> Callable[..., object]:
    def run(**parameters: object) -> object:
        _print_new_name(command)
        return click.get_current_context().invoke(command, **parameters)

    return run


def _print_new_name(command: click.Command) -> None:
    context = click.get_current_context()
    program = context.parent.command_path if context.parent else "quillstep"
    click.echo(f"quillstep: {program} {context.info_name} is now {program} {command.name}", err=True)
