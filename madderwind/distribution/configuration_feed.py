"""Builds the message that brings a data plane to the committed configuration.

Data planes at the same version share one message.
"""

from __future__ import annotations

from madderwind.distribution.deliveries import PublishedConfiguration
from madderwind.messages.distribution import ConfigurationDelta, ConfigurationSnapshot


class ConfigurationFeed:
    """Caches one response per base version of a data plane."""

    def __init__(self, configuration: PublishedConfiguration) -> None:
        self._configuration = configuration
        self._responses: dict[int, ConfigurationDelta | ConfigurationSnapshot] = {}
        self._responses_version = configuration.version

    @property
    def version(self) -> int:
        """The committed version; 0 if there is none."""
        return self._configuration.version

    def update(self, configuration: PublishedConfiguration) -> None:
        """Set the committed configuration."""
        self._configuration = configuration
        if configuration.version != self._responses_version:
            self._responses_version = configuration.version
            self._responses.clear()

    def response_from(self, base_version: int) -> ConfigurationDelta | ConfigurationSnapshot:
        """Return the delta or snapshot that brings `base_version` to the committed version."""
        response = self._responses.get(base_version)
        if response is None:
            response = self._responses[base_version] = self._build_response(base_version)
        return response

    def versions_behind(self, version: int) -> int | None:
        """Return how many versions were committed after this one; None if it is no longer in the history."""
        missing = self._configuration.commands_since(version)
        return None if missing is None else len(missing)

    def _build_response(self, base_version: int) -> ConfigurationDelta | ConfigurationSnapshot:
        document = self._configuration.document
        version = self._configuration.version
        if document is None:
            return ConfigurationSnapshot(version, b"")
        commands = self._configuration.commands_since(base_version) if base_version else None
        if commands is None or sum(len(command.body) for command in commands) > document.raw_bytes:
            return ConfigurationSnapshot(version, document.raw)
        return ConfigurationDelta(base_version, version, tuple(commands))
