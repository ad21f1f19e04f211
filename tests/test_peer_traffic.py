"""Tests of the counts of messages and bytes sent to peers."""

from monsoonpass.core import log_events
from monsoonpass.core.membership import member as member_lib
from monsoonpass.runtime import metrics as metrics_lib
from monsoonpass.runtime import peer_traffic


class RecordingLogger:
    """Logger that records its lines."""

    def __init__(self) -> None:
        self.lines: list[dict[str, object]] = []

    def write(self, code: log_events.Code, **fields: object) -> None:
        self.lines.append({"code": code, **fields})


class TestTraffic:
    def test_report_lists_largest_first_and_resets_totals(self):
        metrics = metrics_lib.Metrics()
        logger = RecordingLogger()
        traffic = peer_traffic.PeerTraffic(metrics=metrics, logger=logger)
        ping = member_lib.Ping(number=1, version=0, table_digest=0, updates=())
        rumour = member_lib.Rumour(updates=())
        traffic.count_sent(ping, "across", 40)
        traffic.count_sent(ping, "across", 60)
        traffic.count_sent(rumour, "region", 900)
        traffic.report()
        traffic.report()
        assert logger.lines == [
            {
                "code": log_events.Code.TRAFFIC,
                "sent": {"Rumour/region": [1, 900], "Ping/across": [2, 100]},
                "other_bytes": 0,
            }
        ]
        text = metrics.render().decode()
        name = "monsoonpass_peer_message_bytes_total"
        assert f'{name}{{distance="across",kind="Ping"}} 100.0' in text
