"""The writing side on disk: one directory a proxy below one root, generations swapped in by one rename.

    root/.lock                       held by the one pilot that writes here
    root/.alive                      touched by that pilot
    root/.objects/<hash>             files, each once, linked into every generation that holds it
    root/<proxy>/hello.json          written by the proxy: who it is and what it holds
    root/<proxy>/generations/<n>/    a whole set and its manifest.json
    root/<proxy>/current             a symlink to generations/<n>
    root/<proxy>/ack.json, load/     written by the proxy

Many proxies' generations are prepared, brought to the disk by one sync of its file system, then pointed to: one sync
for each would make a drain wait for hundreds (played: 262 proxies, a drain 8 s late of 3).  Steps of a swap are
named, so that a test can stop at each.  All paths are opened from directory descriptors without
following links; what others could have laid is refused.
"""

import contextlib
import ctypes
import errno
import fcntl
import os
import re
import stat
import threading
from collections.abc import Callable
from typing import Any

import msgspec

from quillstep.files.generation_files import MANIFEST, Manifest, Packed

NAME = re.compile(r"[A-Za-z0-9_%~][A-Za-z0-9._%~-]{0,199}")
LIBC = ctypes.CDLL(None, use_errno=True)
DIRECTORY = os.O_RDONLY | os.O_DIRECTORY | os.O_NOFOLLOW | os.O_CLOEXEC
STEPS = ("objects", "directory", "links", "manifest", "renamed", "synced", "symlink", "swapped", "cleared")


class UnusableFileError(Exception):
    """A path that this pilot will not write to; the text says which and why."""


def safe_name(node: str) -> str:
    """The directory name of a proxy: its id, with what could leave the directory escaped."""
    kept = "".join(c if c.isascii() and (c.isalnum() or c in "_-.") else "%" + c.encode().hex() for c in node)
    return kept if not kept.startswith(".") else "%2e" + kept[1:]


def open_directory(name: str, at: int | None = None) -> int:
    """A descriptor of a directory that is ours alone to write; raises Refused, OSError."""
    try:
        held = os.open(name, DIRECTORY, dir_fd=at)
    except OSError as trouble:
        if trouble.errno in (errno.ELOOP, errno.ENOTDIR):
            raise UnusableFileError(f"{name} is a link or no directory") from None
        raise
    try:
        check(os.fstat(held), name)
    except UnusableFileError:
        os.close(held)
        raise
    return held


def check(found: os.stat_result, name: str) -> None:
    if found.st_mode & stat.S_IWOTH:
        raise UnusableFileError(f"{name} may be written by everybody (mode {stat.S_IMODE(found.st_mode):o})")
    if found.st_uid not in (os.geteuid(), 0):
        raise UnusableFileError(f"{name} belongs to user {found.st_uid}")


def ensure_directory(name: str, at: int) -> int:
    with contextlib.suppress(FileExistsError):
        os.mkdir(name, 0o755, dir_fd=at)
    return open_directory(name, at)


class Disk:
    """One root and its lock; raises Refused where another pilot holds it."""

    def __init__(self, root: str, fsync: bool = True, step: Callable[[str], None] = lambda name: None) -> None:
        self.root, self.step = root, step
        self.fsync = fsync
        os.makedirs(root, 0o755, exist_ok=True)
        self.fd = open_directory(root)
        self.lock = os.open(".lock", os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC, 0o644, dir_fd=self.fd)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self.lock)
            os.close(self.fd)
            raise UnusableFileError(f"{root} is written by another pilot") from None
        self.objects = ensure_directory(".objects", self.fd)
        self.known: set[str] = set(os.listdir(self.objects))
        for name in [name for name in self.known if name.startswith("new-")]:
            os.unlink(name, dir_fd=self.objects)  # a writer was killed while it wrote this
            self.known.discard(name)

    def close(self) -> None:
        for held in (self.objects, self.lock, self.fd):
            os.close(held)

    def alive(self) -> None:
        """Tell proxies that their pilot is there."""
        held = os.open(".alive", os.O_WRONLY | os.O_CREAT | os.O_NOFOLLOW, 0o644, dir_fd=self.fd)
        os.utime(held)
        os.close(held)

    def proxies(self) -> list[str]:
        """Names of directories that proxies have made."""
        found = [entry.name for entry in os.scandir(self.root) if NAME.fullmatch(entry.name)]
        return sorted(found)

    # reading what proxies write

    def inside(self, *names: str) -> int:
        """A descriptor of a directory below the root, no link followed on the way."""
        at = os.dup(self.fd)
        for name in names:
            try:
                held = open_directory(name, at)
            finally:
                os.close(at)
            at = held
        return at

    def read(self, name: str, *inside: str, most: int = 2**20) -> tuple[bytes, tuple] | None:
        """A file below the root and its stamp; None where there is none.  Links and what is too large: refused."""
        path = "/".join((*inside, name))
        try:
            at = self.inside(*inside)
        except FileNotFoundError:
            return None
        try:
            held = os.open(name, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC | os.O_NONBLOCK, dir_fd=at)
        except FileNotFoundError:
            return None
        except OSError as trouble:
            raise UnusableFileError(f"{path}: {trouble.strerror}") from None
        finally:
            os.close(at)
        try:
            found = os.fstat(held)
            if not stat.S_ISREG(found.st_mode) or found.st_size > most:
                raise UnusableFileError(f"{path} is no file of at most {most} bytes")
            return os.read(held, most), stamp(found)
        finally:
            os.close(held)

    def stamp(self, proxy: str, name: str) -> tuple | None:
        """What tells a file's change, without reading it."""
        try:
            return stamp(os.stat(f"{proxy}/{name}", dir_fd=self.fd, follow_symlinks=False))
        except OSError:
            return None

    def names(self, *inside: str) -> list[str]:
        """What a directory below the root holds, sorted; empty where there is none."""
        try:
            at = self.inside(*inside)
        except FileNotFoundError:
            return []
        try:
            return sorted(os.listdir(at))
        finally:
            os.close(at)

    def reports(self, proxy: str) -> list[str]:
        """Load reports that wait, oldest first."""
        return [name for name in self.names(proxy, "load") if name.endswith(".pb") and NAME.fullmatch(name)]

    def drop_report(self, proxy: str, name: str) -> None:
        with contextlib.suppress(OSError, UnusableFileError):
            at = self.inside(proxy, "load")
            try:
                os.unlink(name, dir_fd=at)
            finally:
                os.close(at)

    # writing

    def put_object(self, packed: Packed) -> None:
        """A file's content, once, whole before it has its name."""
        if packed.digest in self.known:
            return
        new = f"new-{threading.get_native_id()}-{packed.digest}"  # two writers may want the same at once
        held = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW, 0o644, dir_fd=self.objects)
        try:
            view = memoryview(packed.data)
            while view:
                view = view[os.write(held, view) :]
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(new, dir_fd=self.objects)
            raise
        finally:
            os.close(held)
        os.rename(new, packed.digest, src_dir_fd=self.objects, dst_dir_fd=self.objects)
        self.known.add(packed.digest)

    def swap(self, proxy: str, number: int, files: list[Packed], manifest: bytes, keep: set[int]) -> None:
        """Write one generation and swap it in.  Raises OSError, Refused; readers then see the last one whole."""
        self.prepare(proxy, number, files, manifest)
        self.settle()
        self.point(proxy, number, keep)

    def prepare(self, proxy: str, number: int, files: list[Packed], manifest: bytes) -> None:
        """A generation complete under its number, which nobody is pointed to yet."""
        for packed in files:
            self.put_object(packed)
        self.step("objects")
        at = self.inside(proxy)
        try:
            generations = ensure_directory("generations", at)
        finally:
            os.close(at)
        try:
            self.fill(generations, number, files, manifest)
        finally:
            os.close(generations)

    def settle(self) -> None:
        """All that was prepared, and every earlier swap, is on the disk from here on."""
        if self.fsync and LIBC.syncfs(self.fd):
            code = ctypes.get_errno()
            raise OSError(code, os.strerror(code))
        self.step("synced")

    def fill(self, generations: int, number: int, files: list[Packed], manifest: bytes) -> None:
        """The directory of a generation, complete before it has its name."""
        new = f"new-{number}"
        remove(new, generations)
        os.mkdir(new, 0o755, dir_fd=generations)
        held = open_directory(new, generations)
        try:
            self.step("directory")
            for packed in files:
                self.link(packed, held)
            self.step("links")
            told = os.open(MANIFEST, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW, 0o644, dir_fd=held)
            try:
                os.write(told, manifest)
            finally:
                os.close(told)
            self.step("manifest")
        finally:
            os.close(held)
        remove(str(number), generations)
        os.rename(new, str(number), src_dir_fd=generations, dst_dir_fd=generations)
        self.step("renamed")

    def link(self, packed: Packed, held: int) -> None:
        try:
            os.link(packed.digest, packed.name, src_dir_fd=self.objects, dst_dir_fd=held)
        except FileNotFoundError:  # cleared away meanwhile
            self.known.discard(packed.digest)
            self.put_object(packed)
            os.link(packed.digest, packed.name, src_dir_fd=self.objects, dst_dir_fd=held)

    def point(self, proxy: str, number: int, keep: set[int]) -> None:
        """The one rename that swaps a generation in; generations that nobody holds go.

        The one that was current until now stays: on the disk it may still be, until the next sync.
        """
        at = self.inside(proxy)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink("current.new", dir_fd=at)
            before = pointed(at)
            os.symlink(f"generations/{number}", "current.new", dir_fd=at)
            self.step("symlink")
            os.rename("current.new", "current", src_dir_fd=at, dst_dir_fd=at)
            self.step("swapped")
            generations = open_directory("generations", at)
            try:
                for name in os.listdir(generations):
                    if name.startswith("new-") or (name.isdigit() and int(name) not in keep | {number, before}):
                        remove(name, generations)
            finally:
                os.close(generations)
            self.step("cleared")
        finally:
            os.close(at)

    def clear_objects(self) -> int:
        """Contents that no generation links go; returns how many went."""
        gone = 0
        for name in list(self.known):
            with contextlib.suppress(OSError):
                if os.stat(name, dir_fd=self.objects).st_nlink == 1:
                    os.unlink(name, dir_fd=self.objects)
                    self.known.discard(name)
                    gone += 1
        return gone

    def newest(self, proxy: str) -> int:
        """The highest generation number on disk, whole or not, so that none is used again."""
        numbers = [name.removeprefix("new-") for name in self.names(proxy, "generations")]
        return max((int(name) for name in numbers if name.isdigit()), default=0)

    def generation(self, proxy: str, number: int) -> tuple[Manifest, dict[str, bytes]] | None:
        """The manifest and files of a generation on disk; None where it does not read whole."""
        where = (proxy, "generations", str(number))
        try:
            found = self.read(MANIFEST, *where, most=16 * 2**20)
            if found is None:
                return None
            told = msgspec.json.decode(found[0], type=Manifest)
            files = {name: self.read(name, *where, most=16 * 2**20) for name in told.files}
        except (UnusableFileError, msgspec.DecodeError, OSError):
            return None
        if any(file is None for file in files.values()):
            return None
        return told, {name: file[0] for name, file in files.items() if file}


def pointed(at: int) -> int:
    """The generation that is current in a proxy's directory; 0 where there is none."""
    try:
        name = os.readlink("current", dir_fd=at).rpartition("/")[2]
    except OSError:
        return 0
    return int(name) if name.isdigit() else 0


def stamp(found: os.stat_result) -> tuple:
    return (found.st_mtime_ns, found.st_size, found.st_ino)


def remove(name: str, at: int) -> None:
    """A flat directory and what is in it, if it is there."""
    try:
        held = os.open(name, DIRECTORY, dir_fd=at)
    except FileNotFoundError:
        return
    except OSError:
        os.unlink(name, dir_fd=at)
        return
    try:
        for entry in os.listdir(held):
            os.unlink(entry, dir_fd=held)
    finally:
        os.close(held)
    os.rmdir(name, dir_fd=at)


def read_ack(data: bytes) -> tuple[int, str]:
    """An acknowledgement: generation, reason of a refusal (empty: none).  Raises ValueError."""
    try:
        found: Any = msgspec.json.decode(data)
        number, reason = found["generation"], found.get("refused", "")
    except (msgspec.DecodeError, KeyError, AttributeError, TypeError) as trouble:
        raise ValueError(str(trouble) or type(trouble).__name__) from None
    if not isinstance(number, int) or isinstance(number, bool) or not isinstance(reason, str):
        raise ValueError("generation is no whole number, or refused no text")
    return number, reason[:500]
