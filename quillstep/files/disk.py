"""Directory layout of the file front: one directory per proxy under a common root, generations published by rename.

    root/.lock                       locked by the controller that owns the root
    root/.alive                      touched periodically by that controller
    root/.objects/<hash>             file contents, stored once and hard-linked into each generation that contains them
    root/<proxy>/hello.json          written by the proxy: its identity and the generation it holds
    root/<proxy>/generations/<n>/    a complete set of files and its manifest.json
    root/<proxy>/current             a symlink to generations/<n>
    root/<proxy>/ack.json, load/     written by the proxy

The generations of many proxies are prepared, synced together with one syncfs(2), and then swapped in: with one sync
per generation, a drain would wait for hundreds of syncs.  The steps of a swap have names so that tests can interrupt
it at each one.  All paths are opened relative to directory descriptors without following symbolic links, and entries
that another user could have placed are rejected.
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

from quillstep.errors import QuillstepError
from quillstep.files.generation_files import MANIFEST, GenerationFile, Manifest
from quillstep.net.json_decoder import JsonDecoder, MalformedJsonError, decode_json

MAX_FILE_BYTES = 2**20
MAX_GENERATION_FILE_BYTES = 16 * 2**20
MAX_REASON_CHARS = 500  # a longer rejection reason is cut
TEMPORARY_PREFIX = "new-"  # marks objects and generations that are still being written
SAFE_NAME = re.compile(r"[A-Za-z0-9_%~][A-Za-z0-9._%~-]{0,199}")
GENERATION_NAME = re.compile(r"[0-9]{1,18}")  # a number that a signed integer of 64 bits holds
LIBC = ctypes.CDLL(None, use_errno=True)
DIRECTORY_FLAGS = os.O_RDONLY | os.O_DIRECTORY | os.O_NOFOLLOW | os.O_CLOEXEC
STEPS = ("objects", "directory", "links", "manifest", "renamed", "synced", "symlink", "swapped", "cleared")


class UnusableFileError(QuillstepError):
    """A path that the controller refuses to read or write; the message names the path and the reason."""


class MalformedAckError(QuillstepError, ValueError):
    """An acknowledgement file has invalid content."""


class Stamp(NamedTuple):
    """File metadata that changes whenever the file is replaced or rewritten."""

    modified_ns: int
    size_bytes: int
    inode: int


class FileContent(NamedTuple):
    """The content of a file and its stamp at the time of reading."""

    data: bytes
    stamp: Stamp


def safe_name(node: str) -> str:
    """Returns the directory name of a proxy: its node id, escaped so that it cannot refer to another directory."""
    escaped = "".join(c if c.isascii() and (c.isalnum() or c in "_-.") else "%" + c.encode().hex() for c in node)
    return escaped if not escaped.startswith(".") else "%2e" + escaped[1:]


def open_directory(name: str, parent_fd: int | None = None) -> int:
    """Opens a directory that belongs to this user or root and is not writable by all; returns its descriptor.

    Raises:
        UnusableFileError: The path is a symbolic link or not a directory, or its owner or mode is not accepted.
        OSError: The directory cannot be opened.
    """
    try:
        fd = os.open(name, DIRECTORY_FLAGS, dir_fd=parent_fd)
    except OSError as error:
        if error.errno in (errno.ELOOP, errno.ENOTDIR):
            raise UnusableFileError(f"{name}: expected a directory, got a symbolic link or another file") from error
        raise
    try:
        _check_owner(os.fstat(fd), name)
    except UnusableFileError:
        os.close(fd)
        raise
    return fd


def _check_owner(status: os.stat_result, name: str) -> None:
    if status.st_mode & stat.S_IWOTH:
        raise UnusableFileError(f"{name}: writable by all users (mode {stat.S_IMODE(status.st_mode):o})")
    if status.st_uid not in (os.geteuid(), 0):
        raise UnusableFileError(f"{name}: owned by another user (uid {status.st_uid})")


def _ensure_directory(name: str, parent_fd: int) -> int:
    with contextlib.suppress(FileExistsError):
        os.mkdir(name, 0o755, dir_fd=parent_fd)
    return open_directory(name, parent_fd)


_manifest_decoder = JsonDecoder(Manifest)


class Disk:
    """The root directory of the file front, locked against other controllers.

    Raises:
        UnusableFileError: Another controller holds the lock, or `open_directory` rejects the root.
    """

    def __init__(self, root: str, fsync: bool = True, step: Callable[[str], None] = lambda name: None) -> None:
        self.root, self.step = root, step
        self.fsync = fsync
        Path(root).mkdir(0o755, parents=True, exist_ok=True)
        self.fd = open_directory(root)
        self.lock_fd = os.open(".lock", os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC, 0o644, dir_fd=self.fd)
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(self.lock_fd)
            os.close(self.fd)
            raise UnusableFileError(f"{root}: locked by another controller") from error
        self.objects_fd = _ensure_directory(".objects", self.fd)
        self.object_names: set[str] = set(_entries(self.objects_fd))
        self.unsynced_objects: set[str] = set()  # written since the last sync that succeeded
        for name in [name for name in self.object_names if name.startswith(TEMPORARY_PREFIX)]:
            os.unlink(name, dir_fd=self.objects_fd)  # left incomplete by a writer that was killed
            self.object_names.discard(name)

    def close(self) -> None:
        """Releases the lock and closes all descriptors."""
        for fd in (self.objects_fd, self.lock_fd, self.fd):
            os.close(fd)

    def touch_alive_file(self) -> None:
        """Updates the time stamp by which proxies see that their controller is running."""
        fd = os.open(".alive", os.O_WRONLY | os.O_CREAT | os.O_NOFOLLOW, 0o644, dir_fd=self.fd)
        os.utime(fd)
        os.close(fd)

    def proxies(self) -> list[str]:
        """Returns the names of the proxies' directories, sorted."""
        names = [entry.name for entry in os.scandir(self.root) if SAFE_NAME.fullmatch(entry.name)]
        return sorted(names)

    # Files written by proxies

    def open_below(self, *names: str) -> int:
        """Opens a directory below the root without following links, and returns its descriptor."""
        parent_fd = os.dup(self.fd)
        for name in names:
            try:
                fd = open_directory(name, parent_fd)
            finally:
                os.close(parent_fd)
            parent_fd = fd
        return parent_fd

    def read(self, name: str, *inside: str, max_bytes: int = MAX_FILE_BYTES) -> FileContent | None:
        """Reads a file below the root; returns None if it does not exist.

        Raises:
            UnusableFileError: The path is a symbolic link or not a regular file, or the file is too large.
        """
        path = "/".join((*inside, name))
        try:
            parent_fd = self.open_below(*inside)
        except FileNotFoundError:
            return None
        try:
            fd = os.open(name, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC | os.O_NONBLOCK, dir_fd=parent_fd)
        except FileNotFoundError:
            return None
        except OSError as error:
            raise UnusableFileError(f"{path}: {error.strerror}") from error
        finally:
            os.close(parent_fd)
        try:
            status = os.fstat(fd)
            if not stat.S_ISREG(status.st_mode) or status.st_size > max_bytes:
                raise UnusableFileError(f"{path}: expected a regular file of at most {max_bytes} bytes")
            return FileContent(os.read(fd, max_bytes), _stamp(status))
        finally:
            os.close(fd)

    def stamp(self, proxy: str, name: str) -> Stamp | None:
        """Returns the stamp of a file in a proxy's directory, or None if it does not exist."""
        try:
            return _stamp(os.stat(f"{proxy}/{name}", dir_fd=self.fd, follow_symlinks=False))
        except OSError:
            return None

    def names(self, *inside: str) -> list[str]:
        """Returns the entries of a directory below the root, sorted; an empty list if it does not exist."""
        try:
            fd = self.open_below(*inside)
        except FileNotFoundError:
            return []
        try:
            return sorted(_entries(fd))
        finally:
            os.close(fd)

    def reports(self, proxy: str) -> list[str]:
        """Returns the names of a proxy's unread load reports, oldest first."""
        return [name for name in self.names(proxy, "load") if name.endswith(".pb") and SAFE_NAME.fullmatch(name)]

    def remove_report(self, proxy: str, name: str) -> None:
        """Removes a load report after it was read."""
        with contextlib.suppress(OSError, UnusableFileError):
            parent_fd = self.open_below(proxy, "load")
            try:
                os.unlink(name, dir_fd=parent_fd)
            finally:
                os.close(parent_fd)

    # Writing generations

    def _put_object(self, file: GenerationFile) -> None:
        """Stores a file's content under its digest; does nothing if it is already stored.

        The content is written under a temporary name and renamed, so that an object is never seen incomplete.
        """
        if file.digest in self.object_names:
            return
        # The thread id keeps two writers that store the same content at the same time apart.
        temporary = f"{TEMPORARY_PREFIX}{threading.get_native_id()}-{file.digest}"
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW, 0o644, dir_fd=self.objects_fd)
        try:
            _write_all(fd, file.data)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(temporary, dir_fd=self.objects_fd)
            raise
        finally:
            os.close(fd)
        os.rename(temporary, file.digest, src_dir_fd=self.objects_fd, dst_dir_fd=self.objects_fd)
        self.object_names.add(file.digest)
        self.unsynced_objects.add(file.digest)

    def swap(self, proxy: str, number: int, files: list[GenerationFile], manifest: bytes, keep: set[int]) -> None:
        """Writes one generation and swaps it in.

        Args:
            proxy: Name of the proxy's directory.
            number: Number of the generation.
            files: All files of the generation.
            manifest: Content of its manifest.
            keep: Numbers of other generations that stay on disk.

        Raises:
            OSError: The generation cannot be written; readers then still see the previous one.
            UnusableFileError: A directory on the way is a symbolic link, or its owner or mode is not accepted.
        """
        self.prepare(proxy, number, files, manifest)
        self.sync()
        self.swap_in(proxy, number, keep)

    def prepare(self, proxy: str, number: int, files: list[GenerationFile], manifest: bytes) -> None:
        """Writes a generation under its number without making it current."""
        for file in files:
            self._put_object(file)
        self.step("objects")
        proxy_fd = self.open_below(proxy)
        try:
            generations_fd = _ensure_directory("generations", proxy_fd)
        finally:
            os.close(proxy_fd)
        try:
            self._write_generation(generations_fd, number, files, manifest)
        finally:
            os.close(generations_fd)

    def sync(self) -> None:
        """Flushes the file system: all prepared generations and all earlier swaps are durable on return.

        Raises:
            OSError: The sync failed.  The kernel may have dropped the data, and a later sync would succeed without it,
                so the objects written since the last sync are removed, to be written again.
        """
        if self.fsync and LIBC.syncfs(self.fd):
            code = ctypes.get_errno()
            self._discard_unsynced_objects()
            raise OSError(code, os.strerror(code))
        self.unsynced_objects.clear()
        self.step("synced")

    def _discard_unsynced_objects(self) -> None:
        for name in self.unsynced_objects:
            self.object_names.discard(name)
            with contextlib.suppress(OSError):
                os.unlink(name, dir_fd=self.objects_fd)
        self.unsynced_objects.clear()

    def _write_generation(self, generations_fd: int, number: int, files: list[GenerationFile], manifest: bytes) -> None:
        """Writes a generation's directory under a temporary name and renames it once it is complete."""
        temporary = f"{TEMPORARY_PREFIX}{number}"
        _remove(temporary, generations_fd)
        os.mkdir(temporary, 0o755, dir_fd=generations_fd)
        directory_fd = open_directory(temporary, generations_fd)
        try:
            self.step("directory")
            for file in files:
                self._link(file, directory_fd)
            self.step("links")
            fd = os.open(MANIFEST, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW, 0o644, dir_fd=directory_fd)
            try:
                _write_all(fd, manifest)
            finally:
                os.close(fd)
            self.step("manifest")
        finally:
            os.close(directory_fd)
        _remove(str(number), generations_fd)
        os.rename(temporary, str(number), src_dir_fd=generations_fd, dst_dir_fd=generations_fd)
        self.step("renamed")

    def _link(self, file: GenerationFile, directory_fd: int) -> None:
        try:
            os.link(file.digest, file.name, src_dir_fd=self.objects_fd, dst_dir_fd=directory_fd)
        except FileNotFoundError:  # the object was removed by a cleanup since it was stored
            self.object_names.discard(file.digest)
            self._put_object(file)
            os.link(file.digest, file.name, src_dir_fd=self.objects_fd, dst_dir_fd=directory_fd)

    def swap_in(self, proxy: str, number: int, keep: set[int]) -> None:
        """Makes a prepared generation current with a single rename, and removes generations that are not in use.

        The previously current generation is kept: until the next sync, the link on disk may still point to it.
        """
        proxy_fd = self.open_below(proxy)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink("current.new", dir_fd=proxy_fd)
            previous = _current(proxy_fd)
            os.symlink(f"generations/{number}", "current.new", dir_fd=proxy_fd)
            self.step("symlink")
            os.rename("current.new", "current", src_dir_fd=proxy_fd, dst_dir_fd=proxy_fd)
            self.step("swapped")
            generations_fd = open_directory("generations", proxy_fd)
            try:
                for name in _entries(generations_fd):
                    if name.startswith(TEMPORARY_PREFIX) or (
                        GENERATION_NAME.fullmatch(name) and int(name) not in keep | {number, previous}
                    ):
                        _remove(name, generations_fd)
            finally:
                os.close(generations_fd)
            self.step("cleared")
        finally:
            os.close(proxy_fd)

    def clear_objects(self) -> int:
        """Removes objects that no generation links to; returns how many were removed."""
        removed = 0
        for name in list(self.object_names):
            with contextlib.suppress(OSError):
                if os.stat(name, dir_fd=self.objects_fd).st_nlink == 1:
                    os.unlink(name, dir_fd=self.objects_fd)
                    self.object_names.discard(name)
                    removed += 1
        return removed

    def newest(self, proxy: str) -> int:
        """Returns the highest generation number on disk, complete or not, so that no number is reused; 0 if none."""
        names = [name.removeprefix(TEMPORARY_PREFIX) for name in self.names(proxy, "generations")]
        return max((int(name) for name in names if GENERATION_NAME.fullmatch(name)), default=0)

    def generation(self, proxy: str, number: int) -> tuple[Manifest, dict[str, bytes]] | None:
        """Reads the manifest and files of a generation; returns None unless all of them can be read."""
        where = (proxy, "generations", str(number))
        try:
            file = self.read(MANIFEST, *where, max_bytes=MAX_GENERATION_FILE_BYTES)
            if file is None:
                return None
            manifest: Manifest = _manifest_decoder.decode(file.data)
            if not all(SAFE_NAME.fullmatch(name) for name in manifest.files):
                return None
            files = {name: self.read(name, *where, max_bytes=MAX_GENERATION_FILE_BYTES) for name in manifest.files}
        except (UnusableFileError, MalformedJsonError, OSError):
            return None
        if any(file is None for file in files.values()):
            return None
        return manifest, {name: file.data for name, file in files.items() if file}


def _current(proxy_fd: int) -> int:
    """Returns the number of the current generation in a proxy's directory, or 0 if there is none."""
    try:
        name = os.readlink("current", dir_fd=proxy_fd).rpartition("/")[2]
    except OSError:
        return 0
    return int(name) if GENERATION_NAME.fullmatch(name) else 0


def _write_all(fd: int, data: bytes) -> None:
    """Writes all data; a single write may be short."""
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


def _stamp(status: os.stat_result) -> Stamp:
    return Stamp(status.st_mtime_ns, status.st_size, status.st_ino)


def _entries(directory_fd: int) -> list[str]:
    """Returns the names in a directory."""
    with os.scandir(directory_fd) as entries:
        return [entry.name for entry in entries]


def _remove(name: str, parent_fd: int) -> None:
    """Removes a directory without subdirectories, or a file; does nothing if the name does not exist."""
    try:
        fd = os.open(name, DIRECTORY_FLAGS, dir_fd=parent_fd)
    except FileNotFoundError:
        return
    except OSError:
        os.unlink(name, dir_fd=parent_fd)
        return
    try:
        for entry in _entries(fd):
            os.unlink(entry, dir_fd=fd)
    finally:
        os.close(fd)
    os.rmdir(name, dir_fd=parent_fd)


def read_ack(data: bytes) -> tuple[int, str]:
    """Decodes an acknowledgement file; returns the generation's number and the rejection reason, empty for an ack.

    Raises:
        MalformedAckError: The data is not valid JSON, or a field is missing or has the wrong type.
    """
    try:
        content: Any = decode_json(data)
        number, reason = content["generation"], content.get("refused", "")
    except (MalformedJsonError, KeyError, AttributeError, TypeError) as error:
        raise MalformedAckError(str(error) or type(error).__name__) from error
    if not isinstance(number, int) or isinstance(number, bool) or not isinstance(reason, str):
        raise MalformedAckError("expected an integer in generation and a string in refused")
    return number, reason[:MAX_REASON_CHARS]
