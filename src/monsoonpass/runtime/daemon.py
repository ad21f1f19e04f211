"""A node as a process: creates, starts and stops its components."""

from collections.abc import Callable
import functools
import pathlib
import resource
import time
from typing import Any

import anyio
import anyio.abc

from monsoonpass import errors
from monsoonpass.core import effects
from monsoonpass.core import events
from monsoonpass.core import log_events
from monsoonpass.core import node
from monsoonpass.core.calls import caller_limits
from monsoonpass.core.distribution import host_route
from monsoonpass.formats import journal as journal_lib
from monsoonpass.formats import settings as settings_lib
from monsoonpass.formats import settings_sections
from monsoonpass.runtime import caller_app
from monsoonpass.runtime import caller_load
from monsoonpass.runtime import effect_failures
from monsoonpass.runtime import engine as engine_lib
from monsoonpass.runtime import event_log
from monsoonpass.runtime import http_server
from monsoonpass.runtime import journal_writer
from monsoonpass.runtime import link as link_lib
from monsoonpass.runtime import memory_trim
from monsoonpass.runtime import mesh
from monsoonpass.runtime import metrics
from monsoonpass.runtime import operator_api
from monsoonpass.runtime import peer_calls
from monsoonpass.runtime import peer_traffic
from monsoonpass.runtime import timers
from monsoonpass.runtime import tracing
from monsoonpass.runtime import upload_scheduler
from monsoonpass.runtime import upstream_http
from monsoonpass.runtime import upstream_runner

HTTP2_KEEP_ALIVE_S = 75.0
# In effect no limit; hypercorn closes a connection after 1000 by default.
HTTP2_KEEP_ALIVE_REQUESTS_MAX = 10**9
# Call numbers and request ids start at the incarnation, which is the start
# time in ms, shifted left by this many bits. A restarted node thus does not
# reuse a number.
NUMBER_BITS_PER_INCARNATION = 20
HTTP2_STOP_GRACE_S = 2.0
# Well below `settings.KILL_MARGIN_S`, which the whole end must fit into.
FINISH_REQUESTS_LIMIT_S = 0.4


class Daemon:
    """Runs one node until it is stopped.

    Attributes:
        engine: Feeds events to the node's reducer.
        started: Set once the HTTP servers have been started and the reducer
            has received `events.Started`.
    """

    def __init__(self, *, settings: settings_lib.Settings):
        """Open the journal and create the components.

        Args:
            settings: Validated settings.

        Raises:
            DiskError: The data folder cannot be used.
        """
        self._settings = settings
        reducer_settings = settings.reducer_settings()
        name = reducer_settings.address.instance
        self._incarnation = _wall_clock_ms()
        self.engine = engine_lib.Engine(
            state=node.Node(settings=reducer_settings)
        )
        self.started = anyio.Event()
        self._stopped = anyio.Event()
        self._http2_stop = anyio.Event()
        self._servers: list[http_server.Server] = []
        self._logger = event_log.Logger(instance=name)
        self._metrics = metrics.Metrics()
        self._traffic = peer_traffic.PeerTraffic(
            metrics=self._metrics, logger=self._logger
        )
        self._tracer = tracing.Tracer(
            instance=name,
            path=settings.telemetry.trace_file,
            ratio=settings.telemetry.trace_ratio,
        )
        self._journal = self._open_journal()
        self._create_components()
        self._create_caller_load()

    async def run(self) -> None:
        """Serve until a planned stop has ended, then close the files."""
        await self._mesh.open()
        async with anyio.create_task_group() as group:
            for task in (
                self._timers.run,
                self._journal_writer.run,
                self._mesh.run,
                self._traffic.run,
                self._upstream_runner.run,
                self._caller_app.run,
                memory_trim.run,
            ):
                group.start_soon(task)
            self._start_http_servers(group)
            # The servers listen after their first step. Nothing that takes
            # longer may come before the reducer's first event, since messages
            # of peers arrive from now on.
            await anyio.lowlevel.checkpoint()
            self._feed_started()
            self.started.set()
            try:
                await self._stopped.wait()
                if self.engine.fatal_error is not None:
                    raise self.engine.fatal_error
                await self._finish_requests()
            finally:
                self._http2_stop.set()
                group.cancel_scope.cancel()
        await self._upstream_runner.pool.close_idle()
        self._tracer.close()
        if self._journal is not None:
            self._journal.close()

    def stop(self) -> None:
        """Begin a planned stop.

        `run` returns once no call is in progress, or when the time limit of
        the stop has passed.
        """
        self.engine.feed(events.StopRequested)

    async def _finish_requests(self) -> None:
        """Let callers receive the answers of calls that have just ended."""
        with anyio.move_on_after(FINISH_REQUESTS_LIMIT_S):
            for server in self._servers:
                await server.finish()

    def apply_settings(self, settings: settings_lib.Settings) -> None:
        """Apply the settings that may change while the process runs.

        Only the seeds and the upstream's service are applied. Addresses and
        identities change only with a restart.

        Args:
            settings: Validated new settings.
        """
        self._logger.write(log_events.Code.SETTINGS_CHANGED)
        self.engine.feed(
            events.SettingsChanged,
            seeds=settings.seeds,
            service=settings.upstream.service,
        )

    def log_invalid_settings(self, error: errors.SettingsError) -> None:
        """Log that new settings are invalid; the current ones stay in force."""
        self._logger.write(log_events.Code.SETTINGS_REFUSED, error=str(error))

    def _create_components(self) -> None:
        settings = self._settings
        engine = self.engine
        self._timers = timers.Timers(engine=engine)
        self._journal_writer = journal_writer.JournalWriter(
            engine=engine, journal=self._journal, metrics=self._metrics
        )
        self._mesh = mesh.Mesh(
            engine=engine,
            settings=settings,
            logger=self._logger,
            metrics=self._metrics,
            traffic=self._traffic,
            incarnation=self._incarnation,
        )
        pool = upstream_http.ConnectionPool(
            host=settings.upstream.host,
            connections_max=settings.upstream.connections,
        )
        header_names = settings.header_names
        self._upstream_runner = upstream_runner.UpstreamRunner(
            engine=engine,
            pool=pool,
            tracer=self._tracer,
            header_names=header_names,
        )
        self._caller_app = caller_app.CallerApp(
            engine=engine,
            mesh=self._mesh,
            upstream_runner=self._upstream_runner,
            logger=self._logger,
            metrics=self._metrics,
            tracer=self._tracer,
            header_names=header_names,
            first_call_number=self._incarnation << NUMBER_BITS_PER_INCARNATION,
        )
        self._peer_calls = peer_calls.PeerCalls(
            engine=engine,
            mesh=self._mesh,
            upstream_runner=self._upstream_runner,
            next_number=self._caller_app.next_number,
            upload_scheduler=upload_scheduler.UploadScheduler(
                limit_bytes=upload_scheduler.credit_limit_bytes(
                    settings.limits.link_mbit_s
                )
            ),
            incarnation=self._incarnation,
        )
        token = settings.operators.token
        self._operator_api = operator_api.OperatorApi(
            engine=engine,
            logger=self._logger,
            metrics=self._metrics,
            pool=pool,
            token=token.get_secret_value() if token else None,
            request_id_base=self._incarnation << NUMBER_BITS_PER_INCARNATION,
        )
        self._mesh.set_call_handlers(
            self._receive_call_message,
            self._caller_app.remote_attempts.handle_link_opened,
            self._caller_app.remote_attempts.handle_link_lost,
        )
        engine.set_failure_handler(self._report_failure)
        engine.set_fatal_handler(self._stopped.set)
        engine.set_performer(effects.FailCall, self._perform_fail_call)
        engine.set_performer(effects.Log, self._logger.write_effect)
        engine.set_performer(
            effects.StopCompleted, lambda _: self._stopped.set()
        )

    def _create_caller_load(self) -> None:
        """Create the limits that all HTTP servers of the node share."""
        section = self._settings.limits
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        limits = caller_limits.derive(
            memory_mb=section.memory_mb,
            connections=section.caller_connections,
            buffer_kb=section.caller_buffer_kb,
            descriptors=max(descriptors, 0),
        )
        report = caller_load.ShedReport(
            logger=self._logger, metrics=self._metrics
        )
        self._caller_load = caller_load.CallerLoad(
            limits=limits, on_shed=report.count
        )
        self._caller_gate = caller_load.ConnectionGate(
            connections_max=limits.connections_max
        )
        self._operator_gate = caller_load.ConnectionGate(
            connections_max=limits.operator_connections_max
        )
        for port, gate in (
            ("callers", self._caller_gate),
            ("operators", self._operator_gate),
        ):
            self._metrics.caller_connections.labels(port).set_function(
                functools.partial(len, gate.connections)
            )
        self._metrics.caller_received_bytes.set_function(
            lambda: self._caller_load.budget.held_bytes
        )

    def _open_journal(self) -> journal_lib.Journal | None:
        section = self._settings.disk
        if section is None:
            return None
        name = self._settings.node.instance
        try:
            journal = journal_lib.Journal(folder=section.folder, instance=name)
        except errors.JournalDamagedError as error:
            journal = self._replace_damaged_journal(section.folder, error)
        self._logger.write(
            log_events.Code.JOURNAL_RECOVERED,
            records=len(journal.records),
            cut_bytes=journal.truncated_bytes,
        )
        return journal

    def _replace_damaged_journal(
        self, folder: pathlib.Path, error: errors.JournalDamagedError
    ) -> journal_lib.Journal:
        """Move a damaged journal aside and return a new, empty one.

        The node rejoins its group with a new identity.

        Raises:
            JournalDamagedError: This node is the only bootstrap voter, so its
                journal is the only copy of the accepted configurations.
        """
        name = self._settings.node.instance
        if self._settings.bootstrap_voters == (name,):
            raise error
        damaged_path = journal_lib.rename_damaged(folder)
        self._logger.write(
            log_events.Code.JOURNAL_DAMAGED,
            error=str(error),
            moved=str(damaged_path),
        )
        return journal_lib.Journal(folder=folder, instance=name)

    def _feed_started(self) -> None:
        self.engine.feed(
            events.Started,
            wall_ms=self._incarnation,
            journal=self._journal.records if self._journal else (),
        )

    def _start_http_servers(self, group: anyio.abc.TaskGroup) -> None:
        listen = self._settings.listen
        state = self.engine.state
        for address in listen.callers:
            if listen.http2:
                group.start_soon(
                    self._serve_http2, address, self._caller_app.app
                )
                continue
            group.start_soon(
                self._serve,
                address,
                self._caller_app.app,
                lambda: state.config.catalog.limits,
                self._caller_gate,
            )
        for address in listen.operators:
            group.start_soon(
                self._serve,
                address,
                self._operator_api.app,
                lambda: operator_api.LIMITS,
                self._operator_gate,
            )

    async def _serve(
        self,
        listen: settings_sections.HostPort,
        app: http_server.App,
        limits: Callable[[], host_route.RequestLimits],
        gate: caller_load.ConnectionGate,
    ) -> None:
        state = self.engine.state
        server = http_server.Server(
            app=app,
            limits=limits,
            is_closing=lambda: state.stopping,
            on_error=lambda error: self.engine.report_failure(
                effect_failures.describe("HttpConnection", error)
            ),
            load=self._caller_load,
            gate=gate,
        )
        self._servers.append(server)
        await server.serve(listen.host, listen.port)

    async def _serve_http2(
        self, listen: settings_sections.HostPort, app: http_server.App
    ) -> None:
        """Serve HTTP/1.1 and HTTP/2 with hypercorn."""
        import hypercorn
        import hypercorn.asyncio

        config = hypercorn.Config()
        host = f"[{listen.host}]" if ":" in listen.host else listen.host
        config.bind = [f"{host}:{listen.port}"]
        config.keep_alive_timeout = HTTP2_KEEP_ALIVE_S
        config.keep_alive_max_requests = HTTP2_KEEP_ALIVE_REQUESTS_MAX
        config.graceful_timeout = HTTP2_STOP_GRACE_S
        config.include_server_header = False
        config.errorlog = None
        config.accesslog = None
        config.loglevel = "CRITICAL"
        # Cancelling hypercorn would break its open connections; its shutdown
        # trigger lets them finish within `HTTP2_STOP_GRACE_S`.
        with anyio.CancelScope(shield=True):
            await hypercorn.asyncio.serve(
                app, config, shutdown_trigger=self._http2_stop.wait
            )

    def _receive_call_message(
        self, link: link_lib.Link, message: object
    ) -> None:
        if not self._peer_calls.receive_call_message(link, message):
            self._caller_app.remote_attempts.receive_call_message(link, message)

    def _report_failure(self, fields: dict[str, Any]) -> None:
        self._metrics.confined_failures.labels(fields["place"]).inc()
        self._logger.write(log_events.Code.CONFINED_FAILURE, **fields)

    def _perform_fail_call(self, effect: effects.FailCall) -> None:
        if not self._caller_app.fail_call(effect):
            self._peer_calls.fail_call(effect)


def _wall_clock_ms() -> int:
    return time.time_ns() // 1_000_000
