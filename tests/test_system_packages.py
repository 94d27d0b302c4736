"""Checks that the deploy files list exactly the system packages that builds and compiled wheels need."""

from __future__ import annotations

import platform
import re
import shlex
import subprocess
import tomllib
import unittest
from importlib.metadata import Distribution, distribution
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parents[1]

# Packages of every Debian system: those marked as essential, and the C library that all of those depend on.
ALWAYS_INSTALLED = frozenset(("coreutils", "dash", "diffutils", "libc6"))
# The package of each command that build scripts call. A build script may only call a command listed here.
PACKAGE_OF_COMMAND = {
    "cat": "coreutils",
    "cmp": "diffutils",
    "cp": "coreutils",
    "dirname": "coreutils",
    "mkdir": "coreutils",
    "python3": "python3",
    "rm": "coreutils",
    "sh": "dash",
}
# Python modules that Debian packages separately from Python.
PACKAGE_OF_MODULE = {"venv": "python3-venv"}
# The dynamic loader of each kind of machine, which belongs to the C library.
LOADER_OF_MACHINE = {"aarch64": "ld-linux-aarch64.so.1", "x86_64": "ld-linux-x86-64.so.2"}
# The package of each other shared library that compiled wheels link to.
PACKAGE_OF_LIBRARY = {
    "libc.so.6": "libc6",
    "libdl.so.2": "libc6",
    "libgcc_s.so.1": "libgcc-s1",
    "libm.so.6": "libc6",
    "libpthread.so.0": "libc6",
    "librt.so.1": "libc6",
    "libstdc++.so.6": "libstdc++6",
}
SHELL_BUILTINS = frozenset((":", "[", "cd", "echo", "exec", "exit", "export", "set", "test"))
SHELL_KEYWORDS = frozenset(
    ("!", "do", "done", "elif", "else", "fi", "for", "if", "then", "until", "while", "{", "}")
)
COMMAND_SEPARATORS = frozenset((";", "&", "&&", "|", "||", "(", ")", ";;"))
COMMAND_SUBSTITUTION = re.compile(r"\$\(([^()]*)\)")
# A line of `ldd` output about a shared library: its name, then an arrow and the path found, or an address.
LDD_LIBRARY = re.compile(r"^\s*(\S+\.so\S*)(?: =>|\s*\()", re.MULTILINE)
REQUIREMENT_NAME = re.compile(r"^([A-Za-z0-9._-]+)")


class Deployment(NamedTuple):
    """A deploy file, its build script, and the folder where that script puts the programs that it builds."""

    file: str
    script: str
    requirements: str
    built_under: str


BALANCER = Deployment("balancer.toml", "build.sh", "requirements.txt", ".venv/bin/")
SYSTEM = Deployment("system.toml", "build-system.sh", "requirements-system.txt", "target/venv/bin/")


def commands_of(script: str) -> list[list[str]]:
    """Every command in a shell script, with its arguments."""
    return [command for line in script.splitlines() for command in _commands_of_line(line)]


def _commands_of_line(line: str) -> list[list[str]]:
    words = shlex.shlex(line, posix=True, punctuation_chars=True)
    words.whitespace_split = True
    commands: list[list[str]] = [[]]
    for word in words:
        commands += [
            nested for inner in COMMAND_SUBSTITUTION.findall(word) for nested in _commands_of_line(inner)
        ]
        if word in COMMAND_SEPARATORS:
            commands.append([])
        elif commands[-1] or word not in SHELL_KEYWORDS:
            commands[-1].append(word)
    return [command for command in commands if command]


def packages_of_command(command: list[str], built_under: str) -> set[str]:
    """The packages that a command needs; KeyError if the command or its Python module is unknown."""
    name = command[0]
    if name in SHELL_BUILTINS:
        return packages_of_command(command[1:], built_under) if name == "exec" else set()
    if "/" in name:
        if not name.startswith(built_under):
            raise KeyError(name)
        return set()
    packages = {PACKAGE_OF_COMMAND[name]}
    if command[1:2] == ["-m"]:
        packages.add(PACKAGE_OF_MODULE[command[2]])
    return packages


def packages_of_libraries(ldd_text: str, machine: str) -> set[str]:
    """The packages of the shared libraries in `ldd` output; KeyError if a library is unknown.

    `machine` is the kind of machine, as `platform.machine()` names it: the loader of another is unknown too.
    """
    package_of = {**PACKAGE_OF_LIBRARY, LOADER_OF_MACHINE[machine]: "libc6"}
    names = {Path(name).name for name in LDD_LIBRARY.findall(ldd_text)}
    return {package_of[name] for name in names if not name.startswith("linux-vdso")}


def required_distributions(requirements: Path) -> dict[str, Distribution]:
    """The distributions that a requirements file installs, including their dependencies."""
    found: dict[str, Distribution] = {}
    pending = []
    for line in requirements.read_text().splitlines():
        if line.startswith("-r "):
            found |= required_distributions(requirements.parent / line.removeprefix("-r ").strip())
        elif line.strip():
            pending.append(line)
    while pending:
        requirement = pending.pop()
        match = REQUIREMENT_NAME.match(requirement)
        assert match is not None, requirement
        name = match[1].lower()
        if name not in found and "extra ==" not in requirement:
            found[name] = distribution(name)
            pending += [dependency for dependency in found[name].requires or () if _applies_here(dependency)]
    return found


def _applies_here(requirement: str) -> bool:
    """Whether a dependency applies here: it has no marker, or was installed because its marker holds."""
    if ";" not in requirement:
        return True
    match = REQUIREMENT_NAME.match(requirement)
    assert match is not None
    try:
        distribution(match[1])
    except ModuleNotFoundError:
        return False
    return True


def compiled_modules(distributions: dict[str, Distribution]) -> list[str]:
    """The shared objects that these distributions have installed."""
    files = [(dist, file) for dist in distributions.values() for file in dist.files or ()]
    return [str(dist.locate_file(file)) for dist, file in files if file.name.endswith(".so")]


def ldd_output(modules: list[str]) -> str:
    """The output of `ldd` for these shared objects."""
    result = subprocess.run(["ldd", *modules], capture_output=True, text=True, check=True)
    assert "not found" not in result.stdout, result.stdout
    return result.stdout


def needed_packages(deployment: Deployment) -> set[str]:
    """The packages that a clean build and the processes need in addition to ALWAYS_INSTALLED."""
    deploy_table = tomllib.loads((ROOT / "deploy" / deployment.file).read_text())
    run_commands = [deploy_table.get("run", ""), deploy_table.get("sim", "")]
    run_commands += [role["run"] for role in deploy_table.get("roles", {}).values()]
    script = (ROOT / "deploy" / deployment.script).read_text()
    packages: set[str] = set()
    for command in commands_of("\n".join((deploy_table["build"], *run_commands, script))):
        packages |= packages_of_command(command, deployment.built_under)
    modules = compiled_modules(required_distributions(ROOT / deployment.requirements))
    packages |= packages_of_libraries(ldd_output(modules), platform.machine())
    return packages - ALWAYS_INSTALLED


class ListedPackagesTest(unittest.TestCase):
    def test_equal_the_needed_packages(self) -> None:
        for deployment in (BALANCER, SYSTEM):
            with self.subTest(deployment.file):
                deploy_table = tomllib.loads((ROOT / "deploy" / deployment.file).read_text())
                self.assertEqual(deploy_table["packages"], sorted(needed_packages(deployment)))
                self.assertIn(deployment.script, deploy_table["build"])


class MissingPackageDetectionTest(unittest.TestCase):
    """Tests that the comparison detects a command, module or library whose package is not listed."""

    def packages(self, script: str) -> set[str]:
        found: set[str] = set()
        for command in commands_of(script):
            found |= packages_of_command(command, SYSTEM.built_under)
        return found

    def test_a_command_is_found_in_any_position(self) -> None:
        for script in (
            "curl x",
            "set -e; curl x",
            "if ! curl x; then",
            "cat a | curl -",
            'cd "$(curl x)/.."',
            "echo a || curl x",
            "cat a > b && curl x",
            "exec curl x",
            "( curl x )",
            "target/venv/bin/pip x || curl x  # a comment",
        ):
            with self.subTest(script), self.assertRaises(KeyError):
                self.packages(script)

    def test_a_program_outside_the_build_folder_is_rejected(self) -> None:
        with self.assertRaises(KeyError):
            self.packages("/opt/tool/bin/python x")

    def test_a_separately_packaged_module_is_found(self) -> None:
        self.assertEqual(self.packages("python3 -m venv x"), {"python3", "python3-venv"})
        with self.assertRaises(KeyError):
            self.packages("python3 -m pip install x")

    def test_text_that_is_not_a_command_needs_no_package(self) -> None:
        self.assertEqual(
            self.packages('# curl\nset -eu\necho "curl x; curl y" >&2\nif [ -d curl ]; then\nfi'), set()
        )

    def test_a_shared_library_is_found(self) -> None:
        for machine, loader in LOADER_OF_MACHINE.items():
            with self.subTest(machine):
                ldd_text = "\tlinux-vdso.so.1 (0x1)\n\tlibm.so.6 => /lib/libm.so.6 (0x2)\n"
                ldd_text += f"\t/lib/{loader} (0x3)\n"
                self.assertEqual(packages_of_libraries(ldd_text, machine), {"libc6"})
                with self.assertRaises(KeyError):
                    packages_of_libraries(ldd_text + "\tlibffi.so.8 => /lib/libffi.so.8 (0x4)\n", machine)

    def test_the_loader_of_another_kind_of_machine_is_rejected(self) -> None:
        for machine, other in (("aarch64", "x86_64"), ("x86_64", "aarch64")):
            with self.subTest(machine), self.assertRaises(KeyError):
                packages_of_libraries(f"\t/lib/{LOADER_OF_MACHINE[other]} (0x3)\n", machine)

    def test_compiled_modules_of_wheels_are_found(self) -> None:
        modules = compiled_modules(required_distributions(ROOT / SYSTEM.requirements))
        names = {Path(module).name.partition(".")[0] for module in modules}
        self.assertLessEqual({"_core", "_frozenlist", "orjson", "_http_parser", "_multidict"}, names)


if __name__ == "__main__":
    unittest.main()
