"""The file front's disk: one directory a proxy below one root, generations swapped in by one rename.

    root/.lock                       held by the one controller that writes here
    root/.alive                      touched by that controller
    root/.objects/<hash>             files, each once, linked into every generation that holds it
    root/<proxy>/hello.json          written by the proxy: who it is and what it holds
    root/<proxy>/generations/<n>/    a full set and its manifest.json
    root/<proxy>/current             a symlink to generations/<n>
    root/<proxy>/ack.json, load/     written by the proxy

Many proxies' generations are prepared, brought to the disk by one sync of its file system, then swapped in: one sync
for each would make a drain wait for hundreds.  Steps of a swap are named, so that a test can stop at each.  All paths
are opened from directory descriptors without following links; what others could have placed there is rejected.
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
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from quillstep.errors import QuillstepError
from quillstep.files.generation_files import MANIFEST, GenerationFile, Manifest

MAX_FILE_BYTES = 2**20
MAX_GENERATION_FILE_BYTES = 16 * 2**20
MAX_REASON = 500  # characters of a proxy's reason that are kept
NEW = "new-"  # before the names of what is not complete yet
NAME = re.compile(r"[A-Za-z0-9_%~][A-Za-z0-9._%~-]{0,199}")
LIBC = ctypes.CDLL(None, use_errno=True)
DIRECTORY = os.O_RDONLY | os.O_DIRECTORY | os.O_NOFOLLOW | os.O_CLOEXEC
STEPS = ("objects", "directory", "links", "manifest", "renamed", "synced", "symlink", "swapped", "cleared")


class UnusableFileError(QuillstepError):
    """A path that this controller will not read or write; the text says which and why."""


class MalformedAckError(QuillstepError, ValueError):
    """An acknowledgement can't be read."""


class Stamp(NamedTuple):
    """What tells a file's change, without reading it."""

    modified_ns: int
    size_bytes: int
    inode: int


class FileContent(NamedTuple):
    """A file that was read."""

    data: bytes
    stamp: Stamp


def safe_name(node: str) -> str:
    """The directory name of a proxy: its id, with what could leave the directory escaped."""
    kept = "".join(c if c.isascii() and (c.isalnum() or c in "_-.") else "%" + c.encode().hex() for c in node)
    return kept if not kept.startswith(".") else "%2e" + kept[1:]


def open_directory(name: str, at: int | None = None) -> int:
    """A descriptor of a directory that is ours alone to write.

    Raises:
        UnusableFileError: It is a link, no directory, or others may write it.
        OSError: It can't be opened.
    """
    try:
        held = os.open(name, DIRECTORY, dir_fd=at)
    except OSError as error:
        if error.errno in (errno.ELOOP, errno.ENOTDIR):
            raise UnusableFileError(f"{name} is a link or no directory") from error
        raise
    try:
        _check_owner(os.fstat(held), name)
    except UnusableFileError:
        os.close(held)
        raise
    return held


def _check_owner(found: os.stat_result, name: str) -> None:
    if found.st_mode & stat.S_IWOTH:
        raise UnusableFileError(f"{name} may be written by everybody (mode {stat.S_IMODE(found.st_mode):o})")
    if found.st_uid not in (os.geteuid(), 0):
        raise UnusableFileError(f"{name} belongs to user {found.st_uid}")


def _ensure_directory(name: str, at: int) -> int:
    with contextlib.suppress(FileExistsError):
        os.mkdir(name, 0o755, dir_fd=at)
    return open_directory(name, at)


class Disk:
    """One root and its lock.

    Raises:
        UnusableFileError: Another controller holds the lock.
    """

    def __init__(self, root: str, fsync: bool = True, step: Callable[[str], None] = lambda name: None) -> None:
        self.root, self.step = root, step
        self.fsync = fsync
        Path(root).mkdir(0o755, parents=True, exist_ok=True)
        self.fd = open_directory(root)
        self.lock = os.open(".lock", os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC, 0o644, dir_fd=self.fd)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(self.lock)
            os.close(self.fd)
            raise UnusableFileError(f"{root} is written by another pilot") from error
        self.objects = _ensure_directory(".objects", self.fd)
        self.known: set[str] = set(_entries(self.objects))
        for name in [name for name in self.known if name.startswith(NEW)]:
            os.unlink(name, dir_fd=self.objects)  # a writer was killed while it wrote this
            self.known.discard(name)

    def close(self) -> None:
        """Gives the lock up."""
        for held in (self.objects, self.lock, self.fd):
            os.close(held)

    def alive(self) -> None:
        """Tells proxies that their controller is there."""
        held = os.open(".alive", os.O_WRONLY | os.O_CREAT | os.O_NOFOLLOW, 0o644, dir_fd=self.fd)
        os.utime(held)
        os.close(held)

    def proxies(self) -> list[str]:
        """Names of directories that proxies have made."""
        found = [entry.name for entry in os.scandir(self.root) if NAME.fullmatch(entry.name)]
        return sorted(found)

    # reading what proxies write

    def open_below(self, *names: str) -> int:
        """A descriptor of a directory below the root, no link followed on the way."""
        at = os.dup(self.fd)
        for name in names:
            try:
                held = open_directory(name, at)
            finally:
                os.close(at)
            at = held
        return at

    def read(self, name: str, *inside: str, max_bytes: int = MAX_FILE_BYTES) -> FileContent | None:
        """A file below the root; None where there is none.

        Raises:
            UnusableFileError: It is a link, no file, or too large.
        """
        path = "/".join((*inside, name))
        try:
            at = self.open_below(*inside)
        except FileNotFoundError:
            return None
        try:
            held = os.open(name, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC | os.O_NONBLOCK, dir_fd=at)
        except FileNotFoundError:
            return None
        except OSError as error:
            raise UnusableFileError(f"{path}: {error.strerror}") from error
        finally:
            os.close(at)
        try:
            found = os.fstat(held)
            if not stat.S_ISREG(found.st_mode) or found.st_size > max_bytes:
                raise UnusableFileError(f"{path} is no file of at most {max_bytes} bytes")
            return FileContent(os.read(held, max_bytes), _stamp(found))
        finally:
            os.close(held)

    def stamp(self, proxy: str, name: str) -> Stamp | None:
        """What tells the change of a file in a proxy's directory; None where there is none."""
        try:
            return _stamp(os.stat(f"{proxy}/{name}", dir_fd=self.fd, follow_symlinks=False))
        except OSError:
            return None

    def names(self, *inside: str) -> list[str]:
        """What a directory below the root holds, sorted; empty where there is none."""
        try:
            at = self.open_below(*inside)
        except FileNotFoundError:
            return []
        try:
            return sorted(_entries(at))
        finally:
            os.close(at)

    def reports(self, proxy: str) -> list[str]:
        """Load reports that wait, oldest first."""
        return [name for name in self.names(proxy, "load") if name.endswith(".pb") and NAME.fullmatch(name)]

    def drop_report(self, proxy: str, name: str) -> None:
        """Removes a load report that was read."""
        with contextlib.suppress(OSError, UnusableFileError):
            at = self.open_below(proxy, "load")
            try:
                os.unlink(name, dir_fd=at)
            finally:
                os.close(at)

    # writing

    def _put_object(self, file: GenerationFile) -> None:
        """A file's content, once, whole before it has its name."""
        if file.digest in self.known:
            return
        new = f"{NEW}{threading.get_native_id()}-{file.digest}"  # two writers may want the same at once
        held = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW, 0o644, dir_fd=self.objects)
        try:
            view = memoryview(file.data)
            while view:
                view = view[os.write(held, view) :]
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(new, dir_fd=self.objects)
            raise
        finally:
            os.close(held)
        os.rename(new, file.digest, src_dir_fd=self.objects, dst_dir_fd=self.objects)
        self.known.add(file.digest)

    def swap(self, proxy: str, number: int, files: list[GenerationFile], manifest: bytes, keep: set[int]) -> None:
        """Writes one generation and swaps it in.

        Raises:
            OSError: It can't be written; readers then see the one before.
            UnusableFileError: A path is not ours to write.
        """
        self.prepare(proxy, number, files, manifest)
        self.sync()
        self.swap_in(proxy, number, keep)

    def prepare(self, proxy: str, number: int, files: list[GenerationFile], manifest: bytes) -> None:
        """Writes a generation under its number, not swapped in yet."""
        for file in files:
            self._put_object(file)
        self.step("objects")
        at = self.open_below(proxy)
        try:
            generations = _ensure_directory("generations", at)
        finally:
            os.close(at)
        try:
            self._fill(generations, number, files, manifest)
        finally:
            os.close(generations)

    def sync(self) -> None:
        """All that was prepared, and every earlier swap, is on the disk from here on."""
        if self.fsync and LIBC.syncfs(self.fd):
            code = ctypes.get_errno()
            raise OSError(code, os.strerror(code))
        self.step("synced")

    def _fill(self, generations: int, number: int, files: list[GenerationFile], manifest: bytes) -> None:
        """The directory of a generation, complete before it has its name."""
        new = f"{NEW}{number}"
        _remove(new, generations)
        os.mkdir(new, 0o755, dir_fd=generations)
        held = open_directory(new, generations)
        try:
            self.step("directory")
            for file in files:
                self._link(file, held)
            self.step("links")
            descriptor = os.open(MANIFEST, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW, 0o644, dir_fd=held)
            try:
                os.write(descriptor, manifest)
            finally:
                os.close(descriptor)
            self.step("manifest")
        finally:
            os.close(held)
        _remove(str(number), generations)
        os.rename(new, str(number), src_dir_fd=generations, dst_dir_fd=generations)
        self.step("renamed")

    def _link(self, file: GenerationFile, held: int) -> None:
        try:
            os.link(file.digest, file.name, src_dir_fd=self.objects, dst_dir_fd=held)
        except FileNotFoundError:  # cleared away meanwhile
            self.known.discard(file.digest)
            self._put_object(file)
            os.link(file.digest, file.name, src_dir_fd=self.objects, dst_dir_fd=held)

    def swap_in(self, proxy: str, number: int, keep: set[int]) -> None:
        """The one rename that swaps a generation in; generations that nobody holds go.

        The one that was current until now stays: on the disk it may still be, until the next sync.
        """
        at = self.open_below(proxy)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink("current.new", dir_fd=at)
            before = _current(at)
            os.symlink(f"generations/{number}", "current.new", dir_fd=at)
            self.step("symlink")
            os.rename("current.new", "current", src_dir_fd=at, dst_dir_fd=at)
            self.step("swapped")
            generations = open_directory("generations", at)
            try:
                for name in _entries(generations):
                    if name.startswith(NEW) or (name.isdigit() and int(name) not in keep | {number, before}):
                        _remove(name, generations)
            finally:
                os.close(generations)
            self.step("cleared")
        finally:
            os.close(at)

    def clear_objects(self) -> int:
        """Removes files that no generation links; returns how many."""
        removed = 0
        for name in list(self.known):
            with contextlib.suppress(OSError):
                if os.stat(name, dir_fd=self.objects).st_nlink == 1:
                    os.unlink(name, dir_fd=self.objects)
                    self.known.discard(name)
                    removed += 1
        return removed

    def newest(self, proxy: str) -> int:
        """The highest generation number on disk, complete or not, so that none is used again."""
        numbers = [name.removeprefix(NEW) for name in self.names(proxy, "generations")]
        return max((int(name) for name in numbers if name.isdigit()), default=0)

    def generation(self, proxy: str, number: int) -> tuple[Manifest, dict[str, bytes]] | None:
        """The manifest and files of a generation on disk; None where it can't be read in full."""
        where = (proxy, "generations", str(number))
        try:
            file = self.read(MANIFEST, *where, max_bytes=MAX_GENERATION_FILE_BYTES)
            if file is None:
                return None
            manifest = msgspec.json.decode(file.data, type=Manifest)
            files = {name: self.read(name, *where, max_bytes=MAX_GENERATION_FILE_BYTES) for name in manifest.files}
        except (UnusableFileError, msgspec.DecodeError, OSError):
            return None
        if any(file is None for file in files.values()):
            return None
        return manifest, {name: file.data for name, file in files.items() if file}


def _current(at: int) -> int:
    """The generation that is current in a proxy's directory; 0 where there is none."""
    try:
        name = os.readlink("current", dir_fd=at).rpartition("/")[2]
    except OSError:
        return 0
    return int(name) if name.isdigit() else 0


def _stamp(found: os.stat_result) -> Stamp:
    return Stamp(found.st_mtime_ns, found.st_size, found.st_ino)


def _entries(directory: int) -> list[str]:
    """Names in a directory, by its descriptor."""
    with os.scandir(directory) as entries:
        return [entry.name for entry in entries]


def _remove(name: str, at: int) -> None:
    """A flat directory and what is in it, if it is there."""
    try:
        held = os.open(name, DIRECTORY, dir_fd=at)
    except FileNotFoundError:
        return
    except OSError:
        os.unlink(name, dir_fd=at)
        return
    try:
        for entry in _entries(held):
            os.unlink(entry, dir_fd=held)
    finally:
        os.close(held)
    os.rmdir(name, dir_fd=at)


def read_ack(data: bytes) -> tuple[int, str]:
    """An acknowledgement: generation, and reason of a rejection (empty: none).

    Raises:
        MalformedAckError: It can't be read.
    """
    try:
        found: Any = msgspec.json.decode(data)
        number, reason = found["generation"], found.get("refused", "")
    except (msgspec.DecodeError, KeyError, AttributeError, TypeError) as error:
        raise MalformedAckError(str(error) or type(error).__name__) from error
    if not isinstance(number, int) or isinstance(number, bool) or not isinstance(reason, str):
        raise MalformedAckError("generation is no whole number, or refused no text")
    return number, reason[:MAX_REASON]
