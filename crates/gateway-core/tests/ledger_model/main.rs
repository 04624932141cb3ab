//! Model test: several owners serve one partition on one log, whose calls are refused, lost or
//! carried out late, while owners and witnesses restart. The guarantees of the ledger must hold
//! throughout: no program exceeds its budget, and stored turns are not lost.
//!
//! Without witnesses no owner has an overdraft.

mod world;

use elderworks_gateway_core::ledger::OverdraftStatus;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use world::{
    Fate, MAX_TOKENS, NODES, OWNERS, PROGRAMS, STORED, Step, World, budget, step,
    step_with_impatient_callers, step_with_witnesses,
};

/// Returns whether each of `count` questions reaches its witness, and its answer the owner.
fn answers(count: usize) -> impl Strategy<Value = Vec<(bool, bool)>> {
    let answer = (prop::bool::weighted(0.7), prop::bool::weighted(0.9));
    prop::collection::vec(answer, count)
}

impl World {
    /// Makes the log unreachable for an owner with a pending request.
    fn isolate(&mut self, owner: usize) {
        self.step(Step::Begin { owner, program: 1 });
        self.step(Step::Act {
            owner,
            fate: Fate::Lost,
        });
        self.step(Step::Slow { owner });
    }

    /// Lets an owner with access to the log do all pending work for two seconds.
    fn serve(&mut self, owner: usize) {
        for _ in 0..2 {
            for _ in 0..4 {
                self.step(Step::Act {
                    owner,
                    fate: Fate::Works,
                });
                self.step(Step::Report { owner });
                self.deliver(vec![(true, true); 8]);
            }
            self.step(Step::Pass { steps: 55 });
        }
    }

    fn deliver(&mut self, answers: Vec<(bool, bool)>) {
        for (is_asked, is_answered) in answers {
            self.step(Step::Inquire {
                is_asked,
                is_answered,
            });
        }
    }

    /// Lets an owner with access to the log grant all turns that it can.
    fn grant_all(&mut self, owner: usize, fencing: Vec<(bool, bool)>) {
        for answers in fencing.chunks(4) {
            for _ in 0..3 {
                self.step(Step::Begin { owner, program: 1 });
                for _ in 0..3 {
                    self.step(Step::Act {
                        owner,
                        fate: Fate::Works,
                    });
                    self.step(Step::Report { owner });
                }
            }
            self.deliver(answers.to_vec());
            self.step(Step::Pass { steps: 55 });
        }
    }
}

/// Lets the first owner open an overdraft.
fn open_overdraft(world: &mut World) {
    world.step(Step::Begin {
        owner: 0,
        program: 0,
    });
    for _ in 0..4 {
        world.step(Step::Act {
            owner: 0,
            fate: Fate::Works,
        });
        world.step(Step::Report { owner: 0 });
    }
    let status = world.owners[0].overdraft_status();
    assert_eq!(status, OverdraftStatus::Standing);
}

/// While the close of an overdraft is unsettled, it may take effect at any time, so the overdraft
/// must not be drawn on.
#[test]
fn an_overdraft_with_an_unsettled_close_is_not_drawn_on() {
    let mut world = World::with_witnesses();
    open_overdraft(&mut world);
    world.isolate(0);
    world.deliver(vec![(true, true); 4]);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Active);
    let act_and_report = |world: &mut World, fate| {
        world.step(Step::Act { owner: 0, fate });
        world.step(Step::Report { owner: 0 });
    };
    // The log answers again: the tokens drawn are recorded, and the overdraft is closed a second
    // later.
    for _ in 0..3 {
        act_and_report(&mut world, Fate::Works);
    }
    world.step(Step::Pass { steps: 60 });
    act_and_report(&mut world, Fate::LostAndDoneLater);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Closing);
    world.step(Step::Pass { steps: 10 });
    act_and_report(&mut world, Fate::Works);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Closing);
    // A later append that is refused says nothing about the close.
    world.step(Step::Begin {
        owner: 0,
        program: 3,
    });
    act_and_report(&mut world, Fate::Refused);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Closing);
    // The log becomes silent, and turns are requested.
    for _ in 0..6 {
        world.step(Step::Begin {
            owner: 0,
            program: 1,
        });
        act_and_report(&mut world, Fate::Lost);
        world.step(Step::Slow { owner: 0 });
        world.deliver(vec![(true, true); 4]);
    }
    world.step(Step::CarryOutLate);
    world.restart(0);
    for _ in 0..6 {
        world.step(Step::Begin {
            owner: 1,
            program: 1,
        });
        for _ in 0..3 {
            world.step(Step::Act {
                owner: 1,
                fate: Fate::Works,
            });
            world.step(Step::Report { owner: 1 });
        }
    }
}

/// Ensures that the random scenarios can use overdrafts at all.
#[test]
fn overdrafts_are_used_while_the_log_is_silent() {
    let mut world = World::with_witnesses();
    open_overdraft(&mut world);
    for _ in 0..4 {
        world.step(Step::Begin {
            owner: 0,
            program: 1,
        });
        world.step(Step::Act {
            owner: 0,
            fate: Fate::Lost,
        });
        world.step(Step::Slow { owner: 0 });
        for _ in 0..NODES {
            world.step(Step::Inquire {
                is_asked: true,
                is_answered: true,
            });
        }
    }
    assert!(world.overdraft_turns > 0);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Active);
    // Once the log answers, the tokens drawn are recorded and the overdraft is replaced.
    world.step(Step::Report { owner: 0 });
    for _ in 0..8 {
        world.step(Step::Pass { steps: 20 });
        world.step(Step::Act {
            owner: 0,
            fate: Fate::Works,
        });
        world.step(Step::Report { owner: 0 });
    }
    assert_eq!(
        world.owners[0].overdraft_status(),
        OverdraftStatus::Standing
    );
    let state = world.replayed();
    let account = state.account(PROGRAMS[1]).expect("an account");
    assert!(account.committed() >= world.max_generated(PROGRAMS[1]));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(0x1ed6e5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn budgets_hold_and_stored_turns_are_retained(steps in prop::collection::vec(step(), 1..160)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
    }

    #[test]
    fn budgets_hold_with_overdrafts(
        steps in prop::collection::vec(step_with_witnesses(), 1..260),
    ) {
        let mut world = World::with_witnesses();
        for step in steps {
            world.step(step);
        }
    }

    /// One owner has no access to the log for a long time but receives requests, while another
    /// owner has access.
    #[test]
    fn an_isolated_owner_and_its_successor_do_not_exceed_a_budget(
        program in 1..PROGRAMS.len(),
        before in prop::collection::vec(step_with_witnesses(), 0..40),
        isolated_steps in prop::collection::vec((0..10_u8, 0..=MAX_TOKENS), 1..60),
    ) {
        let mut world = World::with_witnesses();
        open_overdraft(&mut world);
        for step in before {
            world.step(step);
        }
        for (kind, used) in isolated_steps {
            world.step(match kind {
                0 | 1 => Step::Begin { owner: 0, program },
                2 => Step::Begin { owner: 1, program },
                3 => Step::Finish { other: None, used, kept: false },
                4 => Step::Act { owner: 0, fate: Fate::Lost },
                5 => Step::Report { owner: 0 },
                6 | 7 => Step::Act { owner: 1, fate: Fate::Works },
                8 => Step::Report { owner: 1 },
                _ => Step::Slow { owner: 0 },
            });
            world.step(Step::Inquire { is_asked: true, is_answered: true });
        }
    }

    /// An isolated owner may activate its overdraft, draw on it, and be lost; witnesses may be lost
    /// too. Its successor may fence the overdraft, and grants all turns that it can.
    #[test]
    fn a_fenced_overdraft_was_never_drawn_on(
        activation in answers(4),
        draws in 0..6_usize,
        lost in prop::collection::vec(0..NODES, 0..3),
        fencing in answers(12),
        late_draws in 0..4_usize,
    ) {
        let mut world = World::with_witnesses();
        open_overdraft(&mut world);
        world.isolate(0);
        world.deliver(activation);
        for _ in 0..draws {
            world.step(Step::Begin { owner: 0, program: 1 });
        }
        let is_first_owner_lost = lost.contains(&0);
        for node in lost {
            world.restart(node);
        }
        world.grant_all(1, fencing);
        if !is_first_owner_lost {
            for _ in 0..late_draws {
                world.step(Step::Begin { owner: 0, program: 1 });
                world.step(Step::Slow { owner: 0 });
                world.deliver(vec![(true, true); 4]);
            }
        }
    }

    /// Owners serve the partition in succession, each until it loses the log and possibly its
    /// memory, while all witnesses lose theirs. The surviving owners keep granting turns.
    #[test]
    fn owners_lost_in_succession_do_not_exceed_a_budget(
        turns in prop::collection::vec((0..OWNERS, 0..PROGRAMS.len()), 30),
        lost in prop::collection::vec(any::<bool>(), OWNERS),
        rounds in 2..6_usize,
    ) {
        let mut world = World::with_witnesses();
        let mut turns = turns.into_iter();
        for (owner, is_lost) in lost.into_iter().enumerate() {
            for _ in 0..rounds {
                world.serve(owner);
                if let Some((_, program)) = turns.next() {
                    world.step(Step::Begin { owner, program });
                }
            }
            world.serve(owner);
            world.isolate(owner);
            world.deliver(vec![(true, true); 8]);
            for (drawing, program) in turns.by_ref().take(5) {
                let owner = drawing.min(owner);
                world.step(Step::Begin { owner, program });
                world.step(Step::Slow { owner });
                world.deliver(vec![(true, true); 4]);
            }
            for node in OWNERS..NODES {
                world.restart(node);
            }
            if is_lost {
                world.restart(owner);
            }
        }
    }

    /// An owner that is cut off, or lost with its witnesses, is asked for turns of a program whose
    /// turns are stored. Its successor grants such turns as if no overdraft had served them.
    #[test]
    fn a_cut_off_owner_and_its_successor_keep_the_budget_of_a_stored_program(
        draws in 0..5_usize,
        lost in prop::collection::vec(0..NODES, 0..4),
        turns in 1..8_usize,
        used in 0..=MAX_TOKENS,
    ) {
        let program = PROGRAMS.len() - 1;
        let mut world = World::with_witnesses();
        open_overdraft(&mut world);
        world.isolate(0);
        world.deliver(vec![(true, true); 4]);
        for _ in 0..draws {
            world.step(Step::Begin { owner: 0, program });
            world.step(Step::Slow { owner: 0 });
            world.deliver(vec![(true, true); 4]);
        }
        for node in lost {
            world.restart(node);
        }
        for _ in 0..turns {
            let before = world.seen.running.len();
            world.step(Step::Begin { owner: 1, program });
            world.serve(1);
            if world.seen.running.len() > before {
                world.step(Step::Finish { other: None, used, kept: true });
                world.serve(1);
            }
        }
    }

    /// All nodes are lost, at any moment of any trouble. A program that begins after that, and whose
    /// turns are stored, gets every turn that its budget holds.
    #[test]
    fn a_stored_program_that_begins_after_a_loss_of_all_nodes_gets_its_whole_budget(
        steps in prop::collection::vec(step_with_witnesses(), 1..120),
        owner in 0..OWNERS,
    ) {
        let mut world = World::with_witnesses();
        open_overdraft(&mut world);
        for step in steps {
            let is_of_stored = |number: usize| PROGRAMS[number] == STORED;
            match step {
                Step::Begin { program, .. } if is_of_stored(program) => {}
                step => world.step(step),
            }
        }
        for node in 0..NODES {
            world.step(Step::RestartNode { node });
        }
        world.step(Step::CarryOutLate);
        world.seen.asked.clear();
        let mut refused = 0;
        while world.max_generated(STORED) + MAX_TOKENS <= budget(STORED) {
            let before = world.seen.running.len();
            world.step(Step::Begin { owner, program: PROGRAMS.len() - 1 });
            world.serve(owner);
            if world.seen.running.len() == before {
                refused += 1;
                prop_assert!(refused < 3, "{} generated", world.max_generated(STORED));
                continue;
            }
            world.step(Step::Finish { other: None, used: MAX_TOKENS, kept: true });
            world.serve(owner);
        }
    }

    /// Callers give up at any moment and come back under a new name, their messages arrive in any
    /// order, and the log refuses calls, loses answers or carries calls out late. Once every report
    /// has arrived, turns that never ran hold nothing.
    #[test]
    fn turns_that_were_given_up_hold_no_tokens(
        steps in prop::collection::vec(step_with_impatient_callers(), 1..120),
    ) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
        world.settle();
        for program in PROGRAMS {
            prop_assert_eq!(world.committed(program), 0, "{}", program);
        }
    }

    /// Every request is answered after the log has recovered.
    #[test]
    fn every_request_is_eventually_answered(steps in prop::collection::vec(step(), 1..100)) {
        let mut world = World::new();
        for step in steps {
            if !matches!(step, Step::Restart { .. }) {
                world.step(step);
            }
        }
        for _ in 0..60 {
            for owner in 0..OWNERS {
                world.step(Step::Act { owner, fate: Fate::Works });
                world.step(Step::Report { owner });
            }
        }
        prop_assert!(world.seen.asked.is_empty(), "{} unanswered", world.seen.asked.len());
    }
}
