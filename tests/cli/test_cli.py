"""The command line as a process: exit codes, messages, and no process or file left behind."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import psutil

from pierglade.cli import COMMANDS
from tests.support.scene import TraceTest

ROOT = pathlib.Path(__file__).parents[2]


def start_command(*args, **options):
    return subprocess.Popen(
        [sys.executable, "-m", "pierglade.cli", *args],
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **options,
    )


class Command(TraceTest):
    def test_exit_codes_and_modules_loaded_by_a_node(self):
        """Wrong calls exit with 2 and one line, and `python -m pierglade` imports no package of the tools."""
        lines = []
        for args in (
            ["nothing"],
            ["check", "nothing.toml"],
            ["fleet", "nothing.toml"],
            ["serve", "nothing.toml"],
            ["check"],
        ):
            child = start_command(*args)
            errors = child.communicate(timeout=60)[1]
            lines.append(f"{' '.join(args)}: {child.returncode} {errors.strip().splitlines()[-1]}")
        # The start on the platform must not import the packages of the tools.
        loaded = subprocess.run(
            [
                sys.executable,
                "-c",
                "import sys; import pierglade.__main__, pierglade.proxy.server; print(sorted("
                "set('click msgspec numpy structlog rich psutil hdrh asyncio'.split()) & set(sys.modules)))",
            ],
            capture_output=True,
            text=True,
            cwd=ROOT,
        )
        self.check("cli_codes", lines + [f"a node loads {loaded.stdout.strip()}"])

    def test_without_extras_help_lists_all_and_each_command_names_its_missing_package(self):
        """The help of an install without extras listed no command and exited with 2.

        To print its line, the help imported each command, which failed on the missing package.
        """
        extras = sorted({package for _, packages in COMMANDS.values() for package in packages})
        calls = [
            ["--help"],
            *(
                [name, *arguments]
                for name, (_, packages) in COMMANDS.items()
                if packages
                for arguments in ([], ["--help"], ["x.toml", "--json"])
            ),
        ]
        # A None entry in sys.modules makes the import of that module fail as if it were not installed.
        script = (
            f"import sys; sys.modules.update(dict.fromkeys({extras}))\n"
            "import json; import click; from pierglade.cli import main\n"
            "from click.testing import CliRunner\n"
            f"for call in {calls}:\n"
            "    result = CliRunner().invoke(main, call)\n"
            "    print(json.dumps([call, result.exit_code, result.output]))"
        )
        completed = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, text=True, cwd=ROOT
        )
        (_, code, text), *others = map(json.loads, completed.stdout.splitlines())
        listed = [
            line.split()[0] for line in text.split("Commands:")[1].splitlines() if line.strip()
        ]
        lines = [f"help: {code}, lists all {set(COMMANDS) <= set(listed)}"]
        for call, code, text in others:
            lines.append(f"{' '.join(call)}: {code} {text.strip()}")
        self.check("cli_extras", lines)


class BackendHandler(BaseHTTPRequestHandler):
    """A plain HTTP backend of an operator, which does not know trace ids."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Length", "3")
        self.end_headers()
        self.wfile.write(self.server.body)

    do_POST = do_GET

    def log_message(self, *_):
        """Suppresses the log of the standard library's server."""


def start_backend(body):
    server = ThreadingHTTPServer(("127.0.0.1", 0), BackendHandler)
    server.body = body
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Serve(TraceTest):
    def test_static_backends_without_ids_and_reloads_of_the_file(self):
        """A node serves requests without trace ids from the file's backends.

        On SIGHUP it rejects an invalid file and applies a changed list of backends.
        """
        servers = [start_backend(body) for body in (b"one", b"two")]
        text = (
            (ROOT / "deploy" / "pierglade.toml")
            .read_text()
            .replace("127.0.0.1:8080", "127.0.0.1:0")
        )
        text = text.replace('management = "127.0.0.1:8082"', "")
        for port, server in zip((9001, 9002), servers):
            text = text.replace(f":{port}", f":{server.server_port}")
        lines = []
        with tempfile.NamedTemporaryFile("w+", suffix=".toml") as file:
            file.write(text)
            file.flush()
            node = start_command("serve", file.name)
            try:
                address = ""
                while not address:
                    line = json.loads(node.stdout.readline())
                    address = line.get("listen") if line["event"] == "started" else ""
                connection = http.client.HTTPConnection(*address.split(":"), timeout=10)

                def request(method, path):
                    connection.request(method, path)
                    response = connection.getresponse()
                    return f"{response.status} {response.read().decode().strip()}"

                lines.append(
                    "GET /look: " + " ".join(sorted({request("GET", "/look/1") for _ in range(6)}))
                )
                lines += [
                    f"POST /pay: {request('POST', '/pay/1')[:3]}",
                    f"GET /other: {request('GET', '/other')}",
                ]
                for change, event in (
                    (
                        ('[[backends]]\nname = "b1"', '[[members]]\nname = "b1"'),
                        "config_rejected",
                    ),
                    (
                        (
                            f"127.0.0.1:{servers[1].server_port}",
                            f"127.0.0.1:{servers[0].server_port}",
                        ),
                        "config_reloaded",
                    ),
                ):
                    file.seek(0)
                    file.truncate()
                    file.write(text.replace(*change))
                    file.flush()
                    node.send_signal(signal.SIGHUP)
                    while (line := json.loads(node.stdout.readline()))["event"] != event:
                        pass
                    lines.append(event + line.get("error", "").replace(file.name, " FILE"))
                while (line := json.loads(node.stdout.readline()))["event"] != "endpoints_updated":
                    pass
                lines.append(
                    "GET /look: " + " ".join(sorted({request("GET", "/look/1") for _ in range(6)}))
                )
                connection.close()
                node.terminate()
                lines.append(f"exit {node.wait(20)}")
            finally:
                node.kill()
                node.communicate()
        for server in servers:
            server.shutdown()
            server.server_close()
        self.check("cli_serve", lines)


class Reload(TraceTest):
    def test_long_file_is_reloaded_while_clients_are_served(self):
        """Reading the file in one go blocked the event loop, for 2.6 s with 47,000 tenants."""
        server = start_backend(b"one")
        text = (
            (ROOT / "deploy" / "pierglade.toml")
            .read_text()
            .replace("127.0.0.1:8080", "127.0.0.1:0")
        )
        text = text.replace('management = "127.0.0.1:8082"', "").replace(
            ":9001", f":{server.server_port}"
        )
        text = text.replace(":9002", f":{server.server_port}")
        rows = [f'\n[[members]]\nname = "tenant-{n}"\nper_s = {{}}\n' for n in range(6000)]
        with tempfile.NamedTemporaryFile("w+", suffix=".toml") as file:
            file.write(text + "".join(rows).replace("{}", "3"))
            file.flush()
            node = start_command("serve", file.name)
            try:
                while (line := json.loads(node.stdout.readline()))["event"] != "started":
                    pass
                connection = http.client.HTTPConnection(*line["listen"].split(":"), timeout=10)
                file.write(rows[0].replace("tenant-0", "one-more").replace("{}", "4"))
                file.flush()
                max_latency, is_reloaded = 0.0, threading.Event()

                def wait_for_reload():
                    while json.loads(node.stdout.readline())["event"] != "config_reloaded":
                        pass
                    is_reloaded.set()

                threading.Thread(target=wait_for_reload, daemon=True).start()
                began = time.monotonic()
                node.send_signal(signal.SIGHUP)
                while not is_reloaded.is_set():
                    sent_at = time.monotonic()
                    connection.request("GET", "/look/1")
                    self.assertEqual(connection.getresponse().read(), b"one")
                    max_latency = max(max_latency, time.monotonic() - sent_at)
                reload_duration = time.monotonic() - began
                connection.close()
            finally:
                node.kill()
                node.communicate()
                server.shutdown()
                server.server_close()
        self.assertLess(max_latency, reload_duration / 2)


class Demo(TraceTest):
    def still_running(self, pids):
        """Returns those of the processes that still run after up to 5 s."""
        deadline = time.monotonic() + 5
        while time.monotonic() < deadline and any(map(psutil.pid_exists, pids)):
            time.sleep(0.05)
        return [pid for pid in pids if psutil.pid_exists(pid)]

    def test_ends_by_itself_by_a_signal_or_with_a_child(self):
        """However the demo ends, it prints at most one error line and leaves no process and no file.

        A child that dies ends the demo as well.
        """
        endings = "by itself", "SIGINT", "SIGTERM", "killed by SIGKILL", "fleet killed"
        with ThreadPoolExecutor(len(endings)) as pool:
            self.check(
                "cli_demo", [line for lines in pool.map(self.run_demo, endings) for line in lines]
            )

    def run_demo(self, ending):
        """Runs the demo until this ending; returns lines that describe what it left behind."""
        with tempfile.TemporaryDirectory() as folder:
            demo = start_command(
                "demo",
                "--seconds",
                "3" if ending == "by itself" else "60",
                "--rate",
                "60",
                env={**os.environ, "TMPDIR": folder},
            )
            demo.stdout.readline()  # The first line follows after one second.
            children = psutil.Process(demo.pid).children(recursive=True)
            pids = [child.pid for child in children]
            if ending.startswith("SIG"):
                demo.send_signal(getattr(signal, ending))
            elif ending == "killed by SIGKILL":
                demo.kill()
            elif ending == "fleet killed":
                next(c for c in children if "fleet.toml" in " ".join(c.cmdline())).kill()
            output, errors = demo.communicate(timeout=60)
            error_lines = [line for line in errors.strip().splitlines() if line]
            files = len(os.listdir(folder)) if ending != "killed by SIGKILL" else "-"
            lines = [
                f"{ending}: exit {demo.returncode}, {len(pids)} children, "
                f"still running {len(self.still_running(pids))}, "
                f"lines on standard error {len(error_lines)}, files left {files}"
            ]
            if ending == "by itself":
                rows = output.strip().splitlines()[-2:]
                lines += [
                    f"    {row.split('  ')[0].strip()} has a result {'p99' in row}" for row in rows
                ]
        return lines
