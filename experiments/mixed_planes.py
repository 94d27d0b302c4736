"""Runs processes of two checkouts together to test compatibility: `mixed_planes.py OLD NEW`.

Each checkout needs `target/venv` and `.venv` (deploy/build-system.sh and deploy/build.sh). Run it with the
Python of `.venv-ci`, whose packages the emulated upstream needs.

1. Data planes of both builds with control planes of one: each data plane answers a request, and then
   applies a changed route.
2. Each build reads the settings files of each role, and the standalone balancer's example configurations.
3. Two standalone balancers of one fleet, one of each build: each counts the other as alive and answers a
   request.

Prints one line per step; the exit status is 0 if every step succeeds.
"""

from __future__ import annotations

import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

CONTROL_PORT, FRONT_PORT, READY_PORT, UPSTREAM_PORT = 8367, 8360, 8365, 8080
STANDALONE_PORT, ADMIN_PORT, GOSSIP_PORT, DISCOVERY_PORT = 5000, 5900, 7000, 8500
INTERNAL_PORTS = [7500, 7515]
CONTROL_IPS = [f"127.77.6.{number}" for number in (1, 2, 3)]
DATA_IPS = [f"127.77.7.{number}" for number in (1, 2)]
UPSTREAM_IP = "127.77.8.1"
STANDALONE_IPS = [f"127.77.9.{number}" for number in (1, 2)]
WAIT_S, CALL_S, POLL_S = 15.0, 2.0, 0.05
HOST, KEY = "mixed.example", "key-of-the-tenant"
OK, NOT_FOUND = 200, 404
CALLER_HEADERS = {"X_Trace_Id": "1", "X_Customer": "acme", "X_Expires_In_Ms": "900"}
ONE_PEER_ALIVE_METRIC = "svc_fellows_alive 1\n"  # the balancer's metric: one other balancer is alive


class Steps:
    """Prints each step's result and counts those that failed."""

    def __init__(self) -> None:
        self.failed = 0

    def check(self, step: str, is_met: Callable[[], bool]) -> None:
        """Wait until the condition is met, for at most WAIT_S, and print the result."""
        deadline_s = time.monotonic() + WAIT_S
        met = is_met()
        while not met and time.monotonic() < deadline_s:
            time.sleep(POLL_S)
            met = is_met()
        self.failed += not met
        print(f"{'ok  ' if met else 'FAIL'} {step}", flush=True)


class ProcessGroup:
    """The processes that this script started; all are killed at the end."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._running: list[subprocess.Popen[bytes]] = []

    def start(self, name: str, command: list[str], checkout: Path, **environment: str) -> None:
        """Start a process of a checkout; its output goes to a separate file."""
        with (self._folder / f"{name}.out").open("ab") as output:
            process = subprocess.Popen(
                command, cwd=checkout, stdout=output, stderr=output, env={**os.environ, **environment}
            )
        self._running.append(process)

    def kill_all(self) -> None:
        """Kill and reap every process."""
        for process in self._running:
            process.kill()
        for process in self._running:
            process.wait()
        self._running.clear()


def status_of(url: str, method: str = "GET", body: bytes | None = None, **headers: str) -> int:
    """The status of the response; 0 if there is no response."""
    request_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    request = urllib.request.Request(url, method=method, data=body, headers=request_headers)
    try:
        with urllib.request.urlopen(request, timeout=CALL_S) as response:
            return int(response.status)
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def configuration_document(version: int) -> dict[str, Any]:
    """A configuration with one route, whose prefix carries the version."""
    route = {
        "name": "only",
        "host": HOST,
        "path_prefix": f"/v{version}/",
        "route_type": "safe",
        "timeout_ms": 2000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": "plain",
        "max_attempts": 2,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "plain", "health_path": "/health", "max_connections": 64}],
        "tenants": [
            {"name": "tenant", "api_keys": [KEY], "unit": "requests", "rate_per_s": 1000, "burst": 1000}
        ],
    }


def node_settings(node: str, ip: str, data_dir: Path | None) -> dict[str, Any]:
    """The settings file of a control plane, or of a data plane where there is no data folder."""
    listen = {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"}
    return {
        "node": node,
        "ip": ip,
        "zone": "z",
        "region": "r",
        "zones": {"z": "r"},
        "listen": listen if data_dir is None else {"control": f"{ip}:{CONTROL_PORT}"},
        "internal_ports": INTERNAL_PORTS,
        "seeds": [f"{address}:{CONTROL_PORT}" for address in CONTROL_IPS],
        "bootstrap": True,
        "heartbeat_ms": 500,
        "data_dir": None if data_dir is None else str(data_dir),
        "fault_tolerance": {"machines": 1},
    }


def write_json(path: Path, content: object) -> Path:
    """Write the content to the path as JSON and return the path."""
    path.write_text(json.dumps(content))
    return path


def replace_configuration(version: int) -> bool:
    """Whether a control plane acknowledged the replacement of the configuration by this version."""
    body = json.dumps(configuration_document(version)).encode()
    url = f"http://{CONTROL_IPS[version % len(CONTROL_IPS)]}:{CONTROL_PORT}/config/replace"
    return (
        status_of(url, "POST", body, Content_Type="application/json", X_Base_Version=str(version - 1)) == OK
    )


def routed_status(data_ip: str, version: int) -> int:
    """The status of a request for the route of that version, through a data plane."""
    url = f"http://{data_ip}:{FRONT_PORT}/v{version}/item"
    return status_of(url, Host=HOST, X_Key=KEY, X_Deadline_Ms="2000", X_Request_Id="mixed-1")


def run_planes(steps: Steps, folder: Path, control: Path, data: list[Path], title: str) -> None:
    """Check control planes of one checkout with one data plane of each checkout in `data`."""
    processes = ProcessGroup(folder)
    program = ["target/venv/bin/python", "-O", "-B", "-m"]
    try:
        for number, ip in enumerate(CONTROL_IPS):
            data_dir = folder / f"control-{number}"
            data_dir.mkdir()
            path = write_json(
                folder / f"control-{number}.json", node_settings(f"control-{number}", ip, data_dir)
            )
            command = [*program, "madderwind.controlplane"]
            processes.start(f"control-{number}", command, control, MADDERWIND_CONFIG=str(path))
        for number, (ip, checkout) in enumerate(zip(DATA_IPS, data, strict=True)):
            path = write_json(folder / f"data-{number}.json", node_settings(f"data-{number}", ip, None))
            command = [*program, "madderwind.dataplane"]
            processes.start(f"data-{number}", command, checkout, MADDERWIND_CONFIG=str(path))
        upstream = {
            "service": "plain",
            "zone": "z",
            "listen": f"{UPSTREAM_IP}:{UPSTREAM_PORT}",
            "address": f"{UPSTREAM_IP}:{UPSTREAM_PORT}",
            "control": [f"{ip}:{CONTROL_PORT}" for ip in CONTROL_IPS],
            "records": str(folder / "upstream.jsonl"),
            "heartbeat_ms": 500,
            "plain": {},
        }
        path = write_json(folder / "upstream.json", upstream)
        module = "madderwind.testing.engine_emulator.upstream_process"
        processes.start("upstream", [sys.executable, "-m", module, str(path)], control)

        steps.check(f"{title}: version 1 is acknowledged", lambda: replace_configuration(1))
        for ip in DATA_IPS:
            steps.check(f"{title}: {ip} answers a request", lambda ip=ip: routed_status(ip, 1) == OK)
        steps.check(f"{title}: version 2 is acknowledged", lambda: replace_configuration(2))
        for ip in DATA_IPS:
            steps.check(f"{title}: {ip} has the changed route", lambda ip=ip: routed_status(ip, 2) == OK)
            steps.check(
                f"{title}: {ip} has no earlier route", lambda ip=ip: routed_status(ip, 1) == NOT_FOUND
            )
    finally:
        processes.kill_all()


def run_settings(steps: Steps, folder: Path, checkout: Path, title: str) -> None:
    """Check that a checkout reads the settings of each role: written by this script, or shipped examples."""
    system, standalone = "target/venv/bin/python", ".venv/bin/python"
    control = write_json(folder / "role-control.json", node_settings("c", CONTROL_IPS[0], folder))
    data = write_json(folder / "role-data.json", node_settings("d", DATA_IPS[0], None))
    read_script = (
        "import sys; from madderwind.node_settings import read_settings; print(read_settings(sys.argv[1]))"
    )

    def succeeds(command: list[str], **environment: str) -> bool:
        result = subprocess.run(
            command, cwd=checkout, capture_output=True, check=False, env={**os.environ, **environment}
        )
        return result.returncode == 0

    steps.check(
        f"{title} reads a control plane's settings",
        lambda: succeeds([system, "-c", read_script, str(control)]),
    )
    command = [system, "-m", "madderwind.dataplane", "check_settings"]
    steps.check(
        f"{title} reads a data plane's settings", lambda: succeeds(command, MADDERWIND_CONFIG=str(data))
    )
    for example in sorted((Path(__file__).parents[1] / "deploy").glob("example-*.json")):
        check = [standalone, "-m", "madderwind", "check-config", f"--config={example}"]
        steps.check(f"{title} reads {example.name}", lambda check=check: succeeds(check))


class TestUpstreamHandler(BaseHTTPRequestHandler):
    """A test upstream for the standalone balancers that answers each request with 200."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802 - the name that http.server calls
        """Answer immediately."""
        self.send_response(200)
        self.send_header("Content-Length", "3")
        self.end_headers()
        self.wfile.write(b"yes")

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002 - the base's signature
        """Requests are not logged."""


def standalone_file(number: int) -> dict[str, Any]:
    """The example fleet's configuration, adapted to two balancers with one upstream."""
    example: dict[str, Any] = json.loads(
        (Path(__file__).parents[1] / "deploy" / "example-fleet.json").read_text()
    )
    ip = STANDALONE_IPS[number]
    member = {**example["known"]["members"][0], "host_port": f"{UPSTREAM_IP}:{UPSTREAM_PORT}"}
    return {
        **example,
        "name": f"app-{number}",
        "listen": f"{ip}:{STANDALONE_PORT}",
        "admin_addr": f"{ip}:{ADMIN_PORT}",
        "discovery": f"{UPSTREAM_IP}:{DISCOVERY_PORT}",
        "known": {**example["known"], "members": [member]},
        "settings": {**example["settings"], "NInstances": len(STANDALONE_IPS), "Me": number},
        "peers": [f"{address}:{GOSSIP_PORT}" for address in STANDALONE_IPS],
    }


def metrics_of(ip: str) -> str:
    """The metrics that a standalone balancer serves at its admin address; empty if it does not answer."""
    try:
        with socket.create_connection((ip, ADMIN_PORT), timeout=CALL_S) as connection:
            connection.sendall(b"METRICS\n")
            return b"".join(iter(lambda: connection.recv(65536), b"")).decode()
    except OSError:
        return ""


def run_standalone(steps: Steps, folder: Path, checkouts: list[Path]) -> None:
    """Check one standalone balancer of each checkout, in one fleet."""
    processes = ProcessGroup(folder)
    upstream = ThreadingHTTPServer((UPSTREAM_IP, UPSTREAM_PORT), TestUpstreamHandler)
    threading.Thread(target=upstream.serve_forever, daemon=True).start()
    try:
        for number, checkout in enumerate(checkouts):
            path = write_json(folder / f"standalone-{number}.json", standalone_file(number))
            command = [".venv/bin/python", "-O", "-B", "-m", "madderwind", "serve", f"--config={path}"]
            processes.start(f"standalone-{number}", command, checkout, TMPDIR=str(folder))
        for ip in STANDALONE_IPS:
            steps.check(
                f"balancer at {ip} counts the other as alive",
                lambda ip=ip: ONE_PEER_ALIVE_METRIC in metrics_of(ip),
            )
            url = f"http://{ip}:{STANDALONE_PORT}/lookup"
            steps.check(
                f"balancer at {ip} answers a request", lambda url=url: status_of(url, **CALLER_HEADERS) == OK
            )
    finally:
        processes.kill_all()
        upstream.shutdown()
        upstream.server_close()


def main(arguments: list[str]) -> int:
    """Run all steps for the two checkouts given as arguments."""
    try:
        old, new = (Path(argument).resolve() for argument in arguments)
    except ValueError:
        print(__doc__, file=sys.stderr)
        return 1
    folder, steps = Path(tempfile.mkdtemp(prefix="mixed-planes-")), Steps()
    for name, control in (("new", new), ("old", old)):
        (folder / name).mkdir()
        title = f"control planes {name}, data planes old and new"
        run_planes(steps, folder / name, control, [old, new], title)
    run_settings(steps, folder, old, "OLD")
    run_settings(steps, folder, new, "NEW")
    run_standalone(steps, folder, [old, new])
    if steps.failed:
        print(f"logs: {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return 1 if steps.failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
