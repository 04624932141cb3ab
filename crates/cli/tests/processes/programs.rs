//! Programs of two sidecars while a node or sidecar is killed or stopped.

use futures_util::future::{join, join_all};

use crate::caller::Caller;
use crate::fleet::Fleet;

/// Token of the first deployment's tenant.
pub const LUBLIN_TOKEN: &str = "lublin-example-token";

/// Token of the second deployment's tenant.
const ULAANBAATAR_TOKEN: &str = "ulaanbaatar-example-token";

/// Number of programs of each deployment.
pub const PROGRAMS: usize = 6;

/// Budget of one run, in credits.
pub const RUN_BUDGET: u64 = 20_000;

/// Running program and its expected history.
pub struct Program {
    caller: Caller,
    pub run: String,
    pub marker: String,
    lookup: &'static str,
    submission: &'static str,
    /// Whether the caller received the result of its submission.
    pub is_submitted: bool,
    pub history: Vec<(String, String)>,
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
            is_submitted: false,
            history: Vec::new(),
        }
    }

    /// Appends a message to the expected history.
    fn expect_message(&mut self, role: &str, content: String) {
        self.history.push((role.to_owned(), content));
    }

    /// Makes a model call twice with the same number and checks that both answers are equal.
    async fn ask(&mut self, number: u32) {
        let question = format!("turn {number} of {}", self.marker);
        let answer = self.caller.ask(&self.run, number, &question).await;
        let repeated = self.caller.ask(&self.run, number, &question).await;
        assert_eq!(repeated, answer, "{}: repeated call", self.marker);
        self.expect_message("user", question);
        self.expect_message("assistant", answer);
    }

    /// Makes the calls 1 and 2.
    async fn first_turns(&mut self) {
        let (run, tool, marker) = (&self.run, self.lookup, &self.marker);
        let result = self.caller.look_up(run, 1, tool, marker).await;
        self.expect_message("tool", result);
        self.ask(2).await;
    }

    /// Makes the calls 3 to 5 and ends the run.
    async fn last_turns(&mut self) {
        self.ask(3).await;
        let (run, tool, marker) = (&self.run, self.submission, &self.marker);
        match self.caller.submit(run, 4, tool, marker).await {
            Ok(result) => {
                assert!(result.contains(&self.marker), "{result}");
                self.expect_message("tool", result);
                self.is_submitted = true;
            }
            Err(code) => println!("{}: {code}", self.marker),
        }
        self.ask(5).await;
        assert_eq!(self.caller.end_run(&self.run).await, "ended");
    }

    /// Runs the program from its first call to its end.
    pub async fn all_turns(&mut self) {
        self.first_turns().await;
        self.last_turns().await;
    }
}

/// Resources that a deployment uses.
pub struct Deployment {
    pub program: &'static str,
    lookup: &'static str,
    pub submission: &'static str,
    token: &'static str,
}

/// Deployments, in the order of their sidecars.
pub const DEPLOYMENTS: [Deployment; 2] = [
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

/// Starts the programs of both deployments.
pub async fn start_programs(fleet: &Fleet) -> Vec<Program> {
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
    assert!(programs.iter().all(|program| program.is_submitted));
    check_submissions(&fleet, &programs).await;
    assert_ne!(fleet.owner(&programs[0].run).await, owner);
}

#[actix_rt::test]
async fn programs_survive_the_loss_of_a_node_during_their_calls() {
    let mut fleet = Fleet::start().await;
    let mut programs = start_programs(&fleet).await;
    let owner = fleet.owner(&programs[0].run).await;
    let running = join_all(programs.iter_mut().map(Program::all_turns));
    let killing = async {
        fleet.wait_for_execution().await;
        fleet.kill_node(&owner);
    };
    join(running, killing).await;
    check_histories(&fleet, &programs).await;
    check_submissions(&fleet, &programs).await;
}

#[actix_rt::test]
async fn planned_stop_of_a_node_interrupts_no_request() {
    let mut fleet = Fleet::start().await;
    let mut programs = start_programs(&fleet).await;
    let owner = fleet.owner(&programs[0].run).await;
    let running = join_all(programs.iter_mut().map(Program::all_turns));
    let stopping = async {
        fleet.wait_for_execution().await;
        fleet.stop_node(&owner).await;
    };
    join(running, stopping).await;
    check_histories(&fleet, &programs).await;
    assert!(programs.iter().all(|program| program.is_submitted));
    check_submissions(&fleet, &programs).await;
    let repeats: usize = programs
        .iter()
        .map(|program| program.caller.repeats())
        .sum();
    assert_eq!(repeats, 0, "requests were refused");
}

#[actix_rt::test]
async fn planned_stop_of_a_sidecar_interrupts_no_request() {
    let mut fleet = Fleet::start().await;
    let caller = Caller::new(fleet.sidecar_url(0), LUBLIN_TOKEN);
    let run = caller
        .start_run("boundary-correction", RUN_BUDGET.into())
        .await;
    let asking = caller.ask_without_repeating(&run, 1, "a question");
    let stopping = async {
        fleet.wait_for_open_call(&run).await;
        fleet.stop_sidecar(0).await;
    };
    let (answer, ()) = join(asking, stopping).await;
    assert!(!answer.is_empty());
}

/// Checks that each history is as expected, read through either sidecar.
pub async fn check_histories(fleet: &Fleet, programs: &[Program]) {
    for program in programs {
        for sidecar in 0..DEPLOYMENTS.len() {
            let reader = Caller::new(fleet.sidecar_url(sidecar), program.token());
            let history = reader.history(&program.run).await;
            assert_eq!(history, program.history, "{}", program.marker);
        }
    }
}

impl Program {
    /// Returns the token of the program's tenant.
    pub fn token(&self) -> &'static str {
        let deployment = DEPLOYMENTS
            .iter()
            .find(|deployment| deployment.lookup == self.lookup);
        deployment.expect("one of the deployments").token
    }
}

/// Checks that each submission with a result ran exactly once, that the others ran at most once,
/// and that there were no other submissions.
pub async fn check_submissions(fleet: &Fleet, programs: &[Program]) {
    let mut executions = fleet.executions().await;
    for program in programs {
        let key = (program.submission.to_owned(), program.marker.clone());
        let count = executions.remove(&key).unwrap_or_default();
        let min_count = usize::from(program.is_submitted);
        assert!(
            (min_count..=1).contains(&count),
            "{key:?} ran {count} times"
        );
    }
    let others = executions
        .keys()
        .filter(|(tool, _)| programs.iter().any(|program| program.submission == tool));
    assert_eq!(others.count(), 0);
}
