"""The operator's file: errors are reported in lines; a valid file is equivalent to the platform's document."""

import json
import pathlib
import re
import tempfile
import tomllib

from hypothesis import given, settings, strategies

from pierglade.cli.check import config_errors
from pierglade.config import logged, page, platform, read
from pierglade.model.outcome import Outcome
from pierglade.settings.platform import settings_from
from tests.support.scene import BalancerHarness, TraceTest

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLE = (ROOT / "deploy" / "pierglade.toml").read_text()
KEY_OFFSETS = [match.start() for match in re.finditer(r"^[a-z_]+ = ", EXAMPLE, re.M)]
WRONG_VALUES = (
    "true",
    "-1",
    "1e400",
    "nan",
    '""',
    '"x"',
    "[]",
    "[1]",
    "{}",
    "1979-05-27",
    "0.5",
    "99999999999999999999",
)


def error_lines(text):
    """Returns what `pierglade check` reports for a file with this text; its path becomes FILE."""
    with tempfile.NamedTemporaryFile(
        "w", suffix=".toml", encoding="utf-8", errors="surrogateescape"
    ) as file:
        file.write(text)
        file.flush()
        return [line.replace(file.name, "FILE") for line in config_errors(file.name)]


class FileErrorsTest(TraceTest):
    def test_each_error_has_a_line(self):
        """Each error is reported with its key, the value found and what is expected."""
        lines = []
        for original, replacement in (
            ("trips = 3", 'trips = "three"'),
            ("trips = 3", "tripps = 3"),
            ("trips = 3", "trips = 0"),
            ('repeat = "harmless"', 'repeat = "free"'),
            ('name = "look"', 'name = "a/b"'),
            ("hard_limit_ms = 1000", "hard_limit_ms = 100"),
            ('name = "pay"', 'name = "look"'),
            ('"127.0.0.1:9001"', '"127.0.0.1"'),
            ("[limits]", "[limitz]"),
            ("[limits]", "[[limits]]"),
            ("[[backends]]", "[[members]]"),
            ("[rules]", "[rules]\nfurther_most = 5"),
            ("[rules]", '[reports]\nhow = "probes"\n[rules]'),
            ("credit = 8", "credit = [8]"),
            ("[node]", "node = 3\n[nod]"),
            ("[log]", "[log]\nsampling = 0"),
            (EXAMPLE, ""),
            ("[node]", "[node]\nnumber = 1\nseed = 7\nzone = 5"),
        ):
            lines += [
                f"{original!r} as {replacement!r}" if len(original) < 99 else "empty",
                *(f"    {line}" for line in error_lines(EXAMPLE.replace(original, replacement))),
            ]
        self.check("config_faults", lines)

    def test_truncated_files_and_invalid_keys(self):
        """A file cut at any byte, or with a removed, doubled or wrongly typed key.

        Each error is reported as a short line, never as a traceback; a doubled key is always rejected.
        """

        def are_short_lines(lines):
            return all(
                line.startswith("FILE: ") and "\n" not in line and len(line) < 400 for line in lines
            )

        for length in range(len(EXAMPLE)):
            self.assertTrue(are_short_lines(error_lines(EXAMPLE[:length])), EXAMPLE[:length][-40:])
        for start in KEY_OFFSETS:
            end = EXAMPLE.index("\n", start)
            line = EXAMPLE[start:end].partition("#")[0]
            doubled = error_lines(EXAMPLE[:end] + "\n" + line + EXAMPLE[end:])
            self.assertTrue(len(doubled) == 1 and "not valid TOML" in doubled[0], line)
            for value in ("", *WRONG_VALUES):
                key = line.partition("=")[0]
                lines = error_lines(
                    EXAMPLE[:start] + (f"{key}= {value}" if value else "") + EXAMPLE[end:]
                )
                self.assertTrue(are_short_lines(lines), (line, value, lines))

    @settings(max_examples=60, deadline=None)
    @given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(max_size=5),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(["name", "node", "offerings", "limits", "x"]),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=12,
        )
    )
    def test_any_parsed_value_gives_lines(self, raw):
        """A value of any shape in a table of the file is reported in lines, without a traceback."""
        for place in ("node", "offerings", "backends", "limits", "reports", "discovery"):
            lines = read.find_errors({**tomllib.loads(EXAMPLE), place: raw})
            self.assertTrue(all(isinstance(line, str) and line for line in lines))


class PlatformDocumentTest(TraceTest):
    def test_conversion_preserves_decisions(self):
        """A balancer decides the same under the platform's example and under its round trip via File.

        Guards against a setting that is lost or changed by the conversion.
        """
        document = json.loads((ROOT / "deploy" / "example.json").read_text())
        converted = platform.to_platform(platform.from_platform(document))
        traces = []
        for source in (document, converted):
            balancer_harness = BalancerHarness([])
            balancer_harness.settings = settings_from(source["settings"])
            balancer_harness.node = type(balancer_harness.node)(
                4, balancer_harness.settings, balancer_harness.now
            )
            balancer_harness.list(["b0", "b1", "b2"], whole=True)
            for n in range(30):
                balancer_harness.take(
                    n, request_class=n % 3, tenant=balancer_harness.settings.tenants[0]
                )
                balancer_harness.after(15)
                if n % 4:
                    balancer_harness.end(n, Outcome.SUCCESS if n % 5 else Outcome.SERVER_ERROR)
            balancer_harness.after(900)
            traces.append(balancer_harness.lines)
        self.assertEqual(*traces)
        self.check("config_alike", traces[0][:12] + [f"and {len(traces[0]) - 12} more lines"])
        file = read.read(str(ROOT / "deploy" / "pierglade.toml"))
        converted_back = platform.from_platform(platform.to_platform(file))
        # The platform's document has no keys for these.
        converted_back.listen.ids, converted_back.log = (
            file.listen.ids,
            file.log,
        )
        self.assertEqual(file, converted_back)

    def test_pages_are_up_to_date(self):
        """The generated pages match their sources, and each event that is logged is in the table."""
        self.assertEqual((ROOT / "docs/operate/configuration.md").read_text(), page.page())
        self.assertEqual((ROOT / "docs/operate/log.md").read_text(), logged.page())
        logged_events = {
            event
            for path in (ROOT / "pierglade" / "proxy").rglob("*.py")
            for event in re.findall(r'\b(?:note|log)\(\s*"([a-z_]+)"', path.read_text())
        }
        self.assertTrue(logged_events)
        self.assertEqual(logged_events - set(logged.EVENTS), set())
