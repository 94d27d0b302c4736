"""Errors caused by the limits of this machine, and not by the peer."""

import errno

OWN_LIMITS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
