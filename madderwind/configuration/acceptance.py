"""Checks of a new document that one already in force need not pass.

A document that an earlier version accepted is still read and served, as far as it can be.
"""

from __future__ import annotations

from madderwind.configuration.documents import Tenant
from madderwind.configuration.json_parts import check_nesting
from madderwind.configuration.reading import ENTIRE_DOCUMENT, Document
from madderwind.errors import ConfigurationError
from madderwind.messages.header_text import is_header_text

# Two documents beside each other, an old and a new one, fit into the memory of a data plane.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
# The field of the error for a document that exceeds it.
DOCUMENT_SIZE = "document size"


def check_new_document(previous: Document | None, document: Document, body: bytes) -> None:
    """Check a document that the command with this body leads to.

    Raises:
        ConfigurationError: The document is too large, the body is nested too deeply, or no header can hold
            the name of a tenant.
    """
    _check_size(previous, document)
    check_nesting(body, ENTIRE_DOCUMENT)
    if previous is None or document.tenants is not previous.tenants:
        _check_tenant_names(document.tenants)


def _check_size(previous: Document | None, document: Document) -> None:
    """A document that is already too large may become smaller step by step."""
    if document.raw_bytes <= MAX_DOCUMENT_BYTES:
        return
    if previous is None or document.raw_bytes >= previous.raw_bytes:
        reason = f"{document.raw_bytes} bytes exceed the maximum of {MAX_DOCUMENT_BYTES}"
        raise ConfigurationError(DOCUMENT_SIZE, reason)


def _check_tenant_names(tenants: tuple[Tenant, ...]) -> None:
    """Upstreams are told the tenant of a request in a header."""
    for index, tenant in enumerate(tenants):
        if not is_header_text(tenant.name):
            raise ConfigurationError(f"tenants[{index}].name", "must not contain control characters")
