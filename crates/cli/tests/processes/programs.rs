//! Programs through two sidecars, and a node that dies between their turns.

use std::collections::BTreeSet;

use futures_util::future::join_all;

use crate::caller::Caller;
use crate::fleet::Fleet;

const LUBLIN_TOKEN: &str = "lublin-example-token";
const ULAANBAATAR_TOKEN: &str = "ulaanbaatar-example-token";

/// Programs of each deployment.
const PROGRAMS: usize = 6;

/// Credits that one run may spend.
const RUN_BUDGET: u64 = 20_000;

/// One program under way and what its history must be.
struct Program {
    caller: Caller,
    run: String,
    marker: String,
    lookup: &'static str,
    submission: &'static str,
    history: Vec<(String, String)>,
}

impl Program {
    async fn start(caller: Caller, deployment: &Deployment, index: usize) -> Self {
        let run = caller
            .start_run(deployment.program, RUN_BUDGET.into())
            .await;
        Self {
            caller,
            run,
            marker: format!("{}-{index}", deployment.program),
            lookup: deployment.lookup,
            submission: deployment.submission,
            history: Vec::new(),
        }
    }

    fn note(&mut self, role: &str, content: String) {
        self.history.push((role.to_owned(), content));
    }

    async fn ask(&mut self, number: u32) {
        let question = format!("turn {number} of {}", self.marker);
        let answer = self.caller.ask(&self.run, number, &question).await;
        self.note("user", question);
        self.note("assistant", answer);
    }

    async fn first_turns(&mut self) {
        let (run, tool, marker) = (&self.run, self.lookup, &self.marker);
        let result = self.caller.use_tool(run, 1, tool, marker, None).await;
        self.note("tool", result);
        self.ask(2).await;
    }

    async fn last_turns(&mut self) {
        self.ask(3).await;
        let key = format!("key-{}", self.marker);
        let (run, tool, marker) = (&self.run, self.submission, &self.marker);
        let result = self.caller.use_tool(run, 4, tool, marker, Some(&key)).await;
        assert!(result.contains(&self.marker), "{result}");
        self.note("tool", result);
        assert_eq!(self.caller.end_run(&self.run).await, "ended");
    }
}

struct Deployment {
    program: &'static str,
    lookup: &'static str,
    submission: &'static str,
    token: &'static str,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        program: "boundary-correction",
        lookup: "cadastre-lookup",
        submission: "claim-submission",
        token: LUBLIN_TOKEN,
    },
    Deployment {
        program: "weekly-menu",
        lookup: "diet-sheet",
        submission: "diet-order",
        token: ULAANBAATAR_TOKEN,
    },
];

async fn start_programs(fleet: &Fleet) -> Vec<Program> {
    let mut starting = Vec::new();
    for (sidecar, deployment) in DEPLOYMENTS.iter().enumerate() {
        for index in 0..PROGRAMS {
            let caller = Caller::new(fleet.sidecar_url(sidecar), deployment.token);
            starting.push(Program::start(caller, deployment, index));
        }
    }
    join_all(starting).await
}

#[actix_rt::test]
async fn programs_survive_the_loss_of_a_node_between_turns() {
    let mut fleet = Fleet::start().await;
    let mut programs = start_programs(&fleet).await;
    join_all(programs.iter_mut().map(Program::first_turns)).await;

    let owner = fleet.owner(&programs[0].run).await;
    fleet.kill_node(&owner);
    assert_eq!(fleet.node_names().len(), 2);

    join_all(programs.iter_mut().map(Program::last_turns)).await;
    check_histories(&fleet, &programs).await;
    check_submissions(&fleet, &programs).await;
    assert_ne!(fleet.owner(&programs[0].run).await, owner);
}

/// Each history is whole and its own, read through either sidecar.
async fn check_histories(fleet: &Fleet, programs: &[Program]) {
    for program in programs {
        for sidecar in 0..DEPLOYMENTS.len() {
            let reader = Caller::new(fleet.sidecar_url(sidecar), program.token());
            let history = reader.history(&program.run).await;
            assert_eq!(history, program.history, "{}", program.marker);
        }
    }
}

impl Program {
    fn token(&self) -> &'static str {
        let deployment = DEPLOYMENTS
            .iter()
            .find(|deployment| deployment.lookup == self.lookup);
        deployment.expect("one of the deployments").token
    }
}

/// Each submission ran once, and nothing else was submitted.
async fn check_submissions(fleet: &Fleet, programs: &[Program]) {
    let executions = fleet.executions().await;
    let submitted = |tool: &str| tool == "claim-submission" || tool == "diet-order";
    let counts: Vec<usize> = executions
        .iter()
        .filter(|((tool, _), _)| submitted(tool))
        .map(|(_, count)| *count)
        .collect();
    assert_eq!(counts, vec![1; programs.len()], "{executions:?}");
    let tools: BTreeSet<&str> = programs.iter().map(|program| program.submission).collect();
    assert_eq!(tools.len(), DEPLOYMENTS.len());
}
