"""Setting of the C library's allocator."""

__all__ = ["return_large_blocks"]

# glibc's M_MMAP_THRESHOLD.
_MMAP_THRESHOLD = -3
# Above the usual read of a connection, so that only large messages cost a system call more.
_LARGE_BLOCK_BYTES = 512 * 1024


def return_large_blocks() -> bool:
    """Let freed blocks of large messages return to the system at once.

    By default glibc raises its threshold with each large block that is freed, and keeps the
    following ones in a heap that fragments.

    :returns: whether the C library accepted it; others than glibc have no such setting.
    """
    try:
        import ctypes

        return bool(ctypes.CDLL(None).mallopt(_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES))
    except (ImportError, OSError, AttributeError):
        return False
