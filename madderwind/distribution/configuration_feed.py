"""What leads a data plane to the committed configuration: one message for all that have the same version."""

from __future__ import annotations

from madderwind.distribution.deliveries import PublishedConfiguration
from madderwind.messages.distribution import ConfigurationDelta, ConfigurationSnapshot


class ConfigurationFeed:
    """Builds each answer once, by the version that a data plane has."""

    def __init__(self, configuration: PublishedConfiguration) -> None:
        self._configuration = configuration
        self._answers: dict[int, ConfigurationDelta | ConfigurationSnapshot] = {}
        self._answered_version = configuration.version

    @property
    def version(self) -> int:
        """The committed version, 0 where there is none."""
        return self._configuration.version

    def update(self, configuration: PublishedConfiguration) -> None:
        """Take over what is committed now."""
        self._configuration = configuration
        if configuration.version != self._answered_version:
            self._answered_version = configuration.version
            self._answers.clear()

    def answer_from(self, base_version: int) -> ConfigurationDelta | ConfigurationSnapshot:
        """What leads from a version to the committed one."""
        answer = self._answers.get(base_version)
        if answer is None:
            answer = self._answers[base_version] = self._build_from(base_version)
        return answer

    def versions_behind(self, version: int) -> int | None:
        """How many versions were committed after this one; None where the history does not reach back."""
        missing = self._configuration.commands_since(version)
        return None if missing is None else len(missing)

    def _build_from(self, base_version: int) -> ConfigurationDelta | ConfigurationSnapshot:
        document = self._configuration.document
        version = self._configuration.version
        if document is None:
            return ConfigurationSnapshot(version, b"")
        commands = self._configuration.commands_since(base_version) if base_version else None
        if commands is None or sum(len(command.body) for command in commands) > document.raw_bytes:
            return ConfigurationSnapshot(version, document.raw)
        return ConfigurationDelta(base_version, version, tuple(commands))
