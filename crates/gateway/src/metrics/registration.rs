//! Names and help texts of the gateway's metrics.

use super::Metrics;

impl Metrics {
    /// Registers all metrics under their names.
    pub(super) fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "answers",
            "Requests by status of their answer",
            self.answers.clone(),
        );
        registry.register(
            "refusals",
            "Answers of the gateway's own, by whether they promise that nothing was run, and by reason",
            self.refusals.clone(),
        );
        registry.register(
            "request_seconds",
            "Time from a request's head to the end of its answer",
            self.request_seconds.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time from a request's head to the first event of its stream",
            self.first_event_seconds.clone(),
        );
        registry.register("attempts", "Attempts at workers", self.attempts.clone());
        registry.register(
            "attempts_failed",
            "Attempts without a valid answer",
            self.attempts_failed.clone(),
        );
        registry.register(
            "streams_resumed",
            "Streams that a further attempt went on with",
            self.streams_resumed.clone(),
        );
        registry.register(
            "resumptions",
            "Streams that their callers took up again, by where the version that began them was learned, or why they were refused",
            self.resumptions.clone(),
        );
        registry.register(
            "origins_reported",
            "Streams whose version was reported to other nodes",
            self.origins_reported.clone(),
        );
        registry.register(
            "origins_known",
            "Streams whose version is known here",
            self.origins_known.clone(),
        );
        registry.register(
            "request_ends",
            "Requests that a worker was running when it ended",
            self.request_ends.clone(),
        );
        registry.register(
            "requests_given_up",
            "Requests not sent to a worker because of the workers that ended under them",
            self.requests_given_up.clone(),
        );
        registry.register(
            "ended_requests_known",
            "Requests and tries under which workers ended, as known here",
            self.ended_requests_known.clone(),
        );
        registry.register(
            "worker_probes",
            "Connections opened to find out whether a worker has ended",
            self.worker_probes.clone(),
        );
        registry.register(
            "caller_left",
            "Requests whose caller closed the connection first",
            self.caller_left.clone(),
        );
        registry.register(
            "worker_connections",
            "Connections made to workers",
            self.worker_connections.clone(),
        );
        registry.register(
            "placements",
            "Turns sent to engines that are home to the first part of their prompt, and to others",
            self.placements.clone(),
        );
        registry.register(
            "overdrafts_activated",
            "Times that a partition's owner began to let turns run on its overdraft",
            self.overdrafts_activated.clone(),
        );
        registry.register(
            "log_silences",
            "Times that the log was taken to answer nobody",
            self.log_silences.clone(),
        );
        registry.register(
            "log_is_silent",
            "Whether the log is taken to answer nobody now",
            self.log_is_silent.clone(),
        );
        registry.register(
            "outage_waits",
            "Turns that waited for a silent log before they were begun, by how that ended",
            self.outage_waits.clone(),
        );
        registry.register(
            "ledger_conflicts",
            "Appends to a partition that another node had appended to",
            self.ledger_conflicts.clone(),
        );
        registry.register(
            "ledger_forwarded",
            "Ledger requests sent to other nodes",
            self.ledger_forwarded.clone(),
        );
        registry.register(
            "log_calls",
            "Calls to the platform's log by call and outcome",
            self.log_calls.clone(),
        );
        registry.register(
            "start_ms",
            "Time from the start to each of its steps",
            self.start_ms.clone(),
        );
        registry.register(
            "node_recomputations",
            "Times that owners were worked out anew since nodes had come, gone or changed",
            self.node_recomputations.clone(),
        );
        registry.register("in_flight", "Requests under way", self.in_flight.clone());
        registry.register("workers", "Workers known", self.workers.clone());
        registry.register(
            "reads_streams",
            "Whether this node reads the log's streams itself (1) or hears of them from others (0)",
            self.reads_streams.clone(),
        );
        registry.register(
            "zones_evacuated",
            "Zones whose workers get nothing more, as the operator wishes",
            self.zones_evacuated.clone(),
        );
        registry.register(
            "zones_suspected",
            "Times that the workers or the nodes of another zone were suspected together",
            self.zones_suspected.clone(),
        );
        registry.register(
            "zones_suspected_now",
            "Other zones whose workers or nodes are suspected together, each kind counted",
            self.zones_suspected_now.clone(),
        );
        registry.register(
            "far_bytes",
            "Bytes sent to nodes and workers of other zones, and answers of workers there, by kind",
            self.far_bytes.family.clone(),
        );
        registry.register(
            "unreadable_entries",
            "Workers' entries that could not be read, each time that they were read",
            self.unreadable_entries.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "proofs_told",
            "Proofs of the configuration that other nodes gave",
            self.proofs_sent.clone(),
        );
        registry.register(
            "over_quota",
            "Requests refused for their tenant's quota",
            self.over_quota.clone(),
        );
        registry.register(
            "quota_refusals",
            "Requests refused for their tenant's quota by what that rests on",
            self.quota_refusals.clone(),
        );
        registry.register(
            "quota_grants",
            "Questions to lessors of quotas by their outcome",
            self.quota_grants.clone(),
        );
        registry.register(
            "quota_used_percent",
            "Part of their quota that the tenants nearest to it have used",
            self.quota_used_percent.clone(),
        );
        registry.register(
            "proof_age_ms",
            "Time since the configuration was known to be the newest; -1 if it never was",
            self.proof_age_ms.clone(),
        );
        registry.register(
            "config_read_age_ms",
            "Time since the last read of the configuration's stream that was answered was sent; -1 if none was",
            self.config_read_age_ms.clone(),
        );
        registry.register(
            "admission_wait_seconds",
            "Time that turns waited for a place at an engine, those that got none included",
            self.admission_wait_seconds.clone(),
        );
        registry.register(
            "admission_waiting",
            "Turns that wait for a place at an engine",
            self.admission_waiting.clone(),
        );
        registry.register(
            "admission_refusals",
            "Turns that were refused a place at an engine, by reason",
            self.admission_refusals.clone(),
        );
        self.register_runs();
        self.register_memory();
        self.register_engines();
    }

    fn register_engines(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "engine_reads",
            "Calls to engines for what they keep of prompts, by call and outcome",
            self.engine_reads.clone(),
        );
        registry.register(
            "engines_read",
            "Engines whose memory this node reads",
            self.engines_read.clone(),
        );
        registry.register(
            "parts_known",
            "Parts of prompts that are believed to be kept, at all engines together",
            self.parts_known.clone(),
        );
        registry.register(
            "belief_age_ms",
            "Time since the engine was heard that the oldest belief is about; -1 without any",
            self.belief_age_ms.clone(),
        );
        registry.register(
            "prompt_fetches",
            "Parts of prompts that engines were told to take from others",
            self.prompt_fetches.clone(),
        );
        registry.register(
            "prompt_fetched_bytes",
            "Bytes of those parts in the engines' memory",
            self.prompt_fetched_bytes.clone(),
        );
    }

    fn register_runs(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "runs_gone_on",
            "Runs that went on with a copy of their memory after their stream broke off",
            self.runs_resumed.clone(),
        );
        registry.register(
            "runs_ended",
            "Runs whose stream broke off and that could not go on, by reason",
            self.runs_ended.clone(),
        );
        registry.register(
            "copies_freed",
            "Copies of runs that nobody used and their engines freed",
            self.copies_freed.clone(),
        );
        registry.register(
            "copy_bytes",
            "Bytes of the copies of runs that engines made, estimated from the length of the prompt",
            self.copy_bytes.clone(),
        );
        registry.register(
            "backups",
            "Runs that had a backup of their memory",
            self.backups.clone(),
        );
        registry.register(
            "backup_bytes",
            "Bytes that backups move if their runs go to their end, estimated",
            self.backup_bytes.clone(),
        );
    }

    fn register_memory(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "held_bytes",
            "Memory held for callers, workers and peers, by what it is held for",
            self.held_bytes.clone(),
        );
        registry.register(
            "held_peak_bytes",
            "Most memory that was held at once for callers, workers and peers",
            self.held_peak_bytes.clone(),
        );
        registry.register(
            "streams_paused",
            "Times that a worker began to wait for a caller that reads slowly",
            self.streams_paused.clone(),
        );
        registry.register(
            "callers_given_up",
            "Streams ended since their caller read nothing, by what did not allow to wait longer",
            self.callers_given_up.clone(),
        );
    }
}
