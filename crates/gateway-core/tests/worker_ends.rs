//! Requests under which workers ended: recognition over tries, evidence of ends, the table of what is
//! known, and the decision whether and where such a request is sent.

mod common;

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;

use elderworks_gateway_core::attempt::{AttemptHistory, SendDecision};
use elderworks_gateway_core::call::{CallAttributes, PromptSegment};
use elderworks_gateway_core::peer_loads::WorkerKey;
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::worker_ends::EndCount;
use elderworks_gateway_core::worker_ends::exchanges::{Exchange, ExchangeKey, SignOfLife};
use elderworks_gateway_core::worker_ends::identity::{RequestContent, RequestIdentity, RequestKey};
use elderworks_gateway_core::worker_ends::investigation::{
    Fate, Finding, Investigation, NextProbe,
};
use elderworks_gateway_core::worker_ends::placement::{
    Knowledge, Search, find_apart, pause_before_send, workers_to_avoid,
};
use elderworks_gateway_core::worker_ends::suspects::{Placement, Suspects};
use elderworks_gateway_core::worker_ends::table::{EndTable, EndedRequest, KeyKind};
use elderworks_gateway_core::workers::WorkerDirectory;
use elderworks_types::Timestamp;

const NOW: Timestamp = Timestamp(1_000_000_000);
const LIFETIME: Duration = Duration::from_secs(12);

fn content() -> RequestContent<'static> {
    RequestContent {
        method: "POST",
        host: "a.example",
        path: "/stream/x",
        body: b"an input",
        tenant: None,
        caller: Some(IpAddr::from([127, 0, 0, 1])),
    }
}

fn turn(id: &str) -> CallAttributes {
    CallAttributes {
        request_id: Some(id.to_owned()),
        program: Some("p1".to_owned()),
        session: Some("s1".to_owned()),
        ..CallAttributes::default()
    }
}

fn plain(id: &str) -> CallAttributes {
    CallAttributes {
        request_id: Some(id.to_owned()),
        ..CallAttributes::default()
    }
}

fn request(id: &str) -> RequestIdentity {
    RequestIdentity::of(&content(), &turn(id))
}

fn shared(id: &str) -> RequestIdentity {
    RequestIdentity::of(&content(), &plain(id))
}

/// Another turn than that of [`request`].
fn other(id: &str) -> RequestIdentity {
    let attributes = CallAttributes {
        previous_turn: Some("t1".to_owned()),
        ..turn(id)
    };
    RequestIdentity::of(&content(), &attributes)
}

fn worker(number: u32) -> WorkerKey {
    WorkerKey(number << 20)
}

/// Returns an exchange with a worker.
fn with(worker: WorkerKey) -> Exchange {
    Exchange { worker, sent: NOW }
}

/// Returns the key of an exchange of a try with a worker.
fn key(request: &RequestIdentity, worker: WorkerKey) -> ExchangeKey {
    ExchangeKey::of(&with(worker), request.attempt)
}

/// Records that a request broke off at a worker, which was found to have ended.
fn end(table: &mut EndTable, request: &RequestIdentity, number: u32) {
    table.note_break(NOW, with(worker(number)), request, NOW);
    table.note_ended(NOW, worker(number), false);
}

/// Records that a worker answers long after [`NOW`] on a connection that was open before.
fn outlive(table: &mut EndTable, worker: WorkerKey) -> usize {
    let sign = sign_of_life(worker, Duration::ZERO, Duration::from_secs(1));
    table.note_answer(NOW, &sign)
}

/// Returns an answer `answered` after [`NOW`] on a connection that was opened `opened` after it.
fn sign_of_life(worker: WorkerKey, opened: Duration, answered: Duration) -> SignOfLife {
    SignOfLife {
        worker,
        opened: NOW + opened,
        answered: NOW + answered,
    }
}

fn ends(ended: usize, unsettled: usize) -> EndCount {
    EndCount {
        ended,
        unsettled,
        in_progress: 0,
    }
}

#[test]
fn tries_of_one_request_share_its_content() {
    let first = request("r1");
    let again = RequestIdentity::of(
        &content(),
        &CallAttributes {
            resumes: Some("r1".to_owned()),
            last_event_id: Some("3".to_owned()),
            deadline: Some(Duration::from_millis(900)),
            finish: Some(Duration::from_secs(3)),
            ..turn("r2")
        },
    );
    assert_eq!(first.content, again.content);
    assert_ne!(first.attempt, again.attempt);
    assert_eq!(again.resumed, Some(first.attempt));
    assert!(!first.is_shared);
}

#[test]
fn what_belongs_to_one_request_tells_it_from_others() {
    let base = request("r1").content;
    let changes: [fn(&mut CallAttributes); 5] = [
        |turn| turn.program = Some("p2".to_owned()),
        |turn| turn.session = Some("s2".to_owned()),
        |turn| turn.previous_turn = Some("t1".to_owned()),
        |turn| turn.affinity_key = Some("k".to_owned()),
        |turn| {
            turn.prompt = vec![PromptSegment {
                id: "own".to_owned(),
                tokens: 9,
            }];
        },
    ];
    for change in changes {
        let mut attributes = turn("r1");
        change(&mut attributes);
        assert_ne!(RequestIdentity::of(&content(), &attributes).content, base);
    }
    let contents = [
        RequestContent {
            method: "GET",
            ..content()
        },
        RequestContent {
            path: "/stream/y",
            ..content()
        },
        RequestContent {
            body: b"another input",
            ..content()
        },
        RequestContent {
            tenant: Some("t"),
            ..content()
        },
    ];
    for content in contents {
        assert_ne!(RequestIdentity::of(&content, &turn("r1")).content, base);
    }
}

#[test]
fn requests_without_a_body_are_told_apart_by_their_callers() {
    let get = |caller: [u8; 4]| {
        let content = RequestContent {
            method: "GET",
            body: b"",
            caller: Some(IpAddr::from(caller)),
            ..content()
        };
        RequestIdentity::of(&content, &plain("r1"))
    };
    assert!(get([10, 0, 0, 1]).is_shared);
    assert_ne!(get([10, 0, 0, 1]).content, get([10, 0, 0, 2]).content);
}

#[test]
fn decisions_by_ends_and_workers_left() {
    let cases = [
        (0, 0, 1, "sent"),
        (1, 0, 1, "sent"),
        (2, 0, 2, "sent"),
        (2, 0, 1, "last worker"),
        (1, 1, 1, "unsettled"),
        (1, 1, 2, "sent"),
        (2, 1, 9, "unsettled"),
        (0, 3, 9, "unsettled"),
        (3, 0, 9, "given up"),
        (4, 2, 9, "given up"),
    ];
    for (ended, unsettled, left, expected) in cases {
        let ends = ends(ended, unsettled);
        let decision = match AttemptHistory::default().decide_send(ends, left) {
            SendDecision::Permitted(_) => "sent",
            SendDecision::Unsettled => "unsettled",
            SendDecision::GivenUp => "given up",
            SendDecision::LastWorker => "last worker",
        };
        assert_eq!(decision, expected, "{ends:?}, {left} left");
    }
}

/// Each of the tries that are in progress may end its worker, too.
#[test]
fn decisions_beside_other_tries_of_the_request() {
    let cases = [
        (0, 0, 5, true),
        (1, 0, 1, true),
        (1, 0, 2, false),
        (0, 1, 2, false),
        (2, 0, 1, false),
        (1, 1, 1, false),
    ];
    for (ended, unsettled, in_progress, is_sent) in cases {
        let ends = EndCount {
            ended,
            unsettled,
            in_progress,
        };
        let decision = AttemptHistory::default().decide_send(ends, 9);
        let was_sent = matches!(decision, SendDecision::Permitted(_));
        assert_eq!(was_sent, is_sent, "{ends:?}");
    }
}

#[test]
fn streams_are_resumed_three_times_in_one_response() {
    let mut history = AttemptHistory::default();
    let allowed: Vec<bool> = (0..4).map(|_| history.note_resumption()).collect();
    assert_eq!(allowed, [true, true, true, false]);
}

#[test]
fn evidence_of_an_end() {
    use Finding::{Answered, NoAnswer, Refused, Replaced};
    let ms = Duration::from_millis;
    /// Time since the exchange, result of the probe, and whether the worker is listed.
    type Findings<'a> = &'a [(Duration, Finding, bool)];
    /// The fate, or `None` if probes find out nothing more.
    type Outcome = Option<Fate>;
    let cases: [(&str, Findings<'_>, Option<Outcome>); 10] = [
        (
            "nothing listens",
            &[(ms(0), Refused, true)],
            Some(Some(Fate::Ended)),
        ),
        (
            "another process answers at the address, whatever the record says",
            &[(ms(0), Replaced, true)],
            Some(Some(Fate::Replaced)),
        ),
        (
            "a process that ends after its connections",
            &[(ms(0), Answered, true), (ms(799), Refused, true)],
            Some(Some(Fate::Ended)),
        ),
        (
            "answers right after the exchange, however many",
            &[(ms(0), Answered, true), (ms(700), Answered, true)],
            None,
        ),
        (
            "an answer long after the exchange, of this or of the next process of the id",
            &[(ms(0), Answered, true), (ms(800), Answered, true)],
            Some(None),
        ),
        (
            "silence of a listed worker",
            &[(ms(0), NoAnswer, true), (ms(1_000), NoAnswer, true)],
            None,
        ),
        (
            "silence and a lost record",
            &[(ms(0), NoAnswer, true), (ms(1_000), NoAnswer, false)],
            Some(Some(Fate::Vanished)),
        ),
        (
            "silence is never a sign of life",
            &[(ms(0), NoAnswer, true), (ms(60_000), NoAnswer, true)],
            None,
        ),
        (
            "the end of a cut, or of a restart",
            &[(ms(0), NoAnswer, true), (ms(9_000), Answered, true)],
            Some(None),
        ),
        (
            "the same without a record",
            &[(ms(0), NoAnswer, true), (ms(9_000), Answered, false)],
            Some(None),
        ),
    ];
    for (name, findings, expected) in cases {
        let investigation = Investigation::of_exchange(NOW);
        let mut fate = None;
        for (after, finding, is_listed) in findings {
            fate = match investigation.on_finding(NOW + *after, *finding, *is_listed) {
                NextProbe::Settled(fate) => Some(Some(fate)),
                NextProbe::Undecided => Some(None),
                NextProbe::After(pause) => {
                    assert!(!pause.is_zero(), "{name}");
                    None
                }
            };
        }
        assert_eq!(fate, expected, "{name}");
    }
}

/// Neither an answer on a connection that was opened later nor one right after the exchange shows that the
/// same process runs.
#[test]
fn answers_on_earlier_connections_show_that_a_worker_outlived_an_exchange() {
    let ms = Duration::from_millis;
    let before = SignOfLife {
        opened: NOW - ms(5_000),
        ..sign_of_life(worker(1), ms(0), ms(900))
    };
    let cases = [
        ("opened before", before, true),
        ("as it began", sign_of_life(worker(1), ms(0), ms(800)), true),
        ("too early", sign_of_life(worker(1), ms(0), ms(799)), false),
        (
            "opened later",
            sign_of_life(worker(1), ms(1), ms(9_000)),
            false,
        ),
        (
            "another worker",
            sign_of_life(worker(2), ms(0), ms(900)),
            false,
        ),
    ];
    for (name, sign, expected) in cases {
        let mut table = EndTable::default();
        table.note_break(NOW, with(worker(1)), &request("r1"), NOW);
        let outlived = table.note_answer(NOW + ms(900), &sign);
        assert_eq!(outlived, usize::from(expected), "{name}");
        let left = usize::from(!expected);
        assert_eq!(table.count(&request("r2")).unsettled, left, "{name}");
    }
}

/// Each process that starts under the id of a worker counts.
#[test]
fn exchanges_with_one_worker_count_one_by_one() {
    let mut table = EndTable::default();
    for number in 0..4_u32 {
        let exchange = Exchange {
            worker: worker(1),
            sent: NOW + Duration::from_secs(1) * number,
        };
        table.note_break(exchange.sent, exchange, &request("r1"), NOW);
        assert_eq!(table.count(&request("r2")).unsettled, number as usize + 1);
    }
    // A process of the id runs and the worker's record is back: that says nothing of those before.
    table.note_running(worker(1));
    table.note_back(worker(1));
    assert_eq!(table.count(&request("r2")).unsettled, 4);
    assert_eq!(table.note_ended(NOW, worker(1), true).len(), 4);
    table.note_back(worker(1));
    assert_eq!(table.count(&request("r2")).possible(), 4);
}

/// A worker that ended long after a request's connection was reset didn't end under the request.
#[test]
fn a_later_end_of_a_worker_leaves_earlier_exchanges_undecided() {
    let mut table = EndTable::default();
    table.note_break(NOW, with(worker(1)), &request("r1"), NOW);
    table.note_undecided(worker(1));
    let later = Exchange {
        worker: worker(1),
        sent: NOW + Duration::from_secs(2),
    };
    table.note_break(later.sent, later, &request("r2"), NOW);
    assert_eq!(table.note_ended(later.sent, worker(1), false).len(), 1);
    assert_eq!(table.count(&request("r3")), ends(1, 1));
    let answered = sign_of_life(worker(1), Duration::ZERO, Duration::from_secs(1));
    assert_eq!(table.note_answer(later.sent, &answered), 1);
    assert_eq!(table.count(&request("r3")), ends(1, 0));
}

/// What a worker answers, or another one, doesn't undo an end.
#[test]
fn ends_stay_until_callers_no_longer_come_back() {
    let mut table = EndTable::default();
    end(&mut table, &request("r1"), 1);
    end(&mut table, &request("r2"), 2);
    table.note_served(&request("r3"));
    table.note_running(worker(1));
    table.note_back(worker(2));
    outlive(&mut table, worker(1));
    assert_eq!(table.count(&request("r4")).ended, 2);
    table.drop_old(NOW + LIFETIME + Duration::from_millis(1), LIFETIME);
    assert_eq!(table.count(&request("r4")), EndCount::NONE);
}

/// More possible ends than a node remembers of a request stay in the count.
#[test]
fn possible_ends_beyond_the_maximum_are_not_lost() {
    let mut table = EndTable::default();
    for number in 0..20 {
        table.note_break(NOW, with(worker(number)), &request("r1"), NOW);
    }
    for number in 0..17 {
        outlive(&mut table, worker(number));
    }
    assert!(table.count(&request("r2")).possible() >= 3);
}

/// A storm of exchanges that broke off doesn't push out a request under which workers ended.
#[test]
fn requests_without_an_end_are_forgotten_first() {
    let mut table = EndTable::default();
    end(&mut table, &request("r1"), 1);
    for number in 0..20_000 {
        let attributes = CallAttributes {
            program: Some(format!("p-{number}")),
            ..turn(&format!("s-{number}"))
        };
        let storm = RequestIdentity::of(&content(), &attributes);
        table.note_break(NOW, with(worker(2)), &storm, NOW);
    }
    assert_eq!(table.count(&request("r2")).ended, 1);
}

/// The node that had an exchange tells others that its worker outlived it, in whichever order the messages
/// arrive.
#[test]
fn outlived_exchanges_are_told_and_stay_settled() {
    let mut table = EndTable::default();
    table.note_break(NOW, with(worker(1)), &request("r1"), NOW);
    let possible = table.take_due(NOW);
    assert!(!possible.is_empty());
    outlive(&mut table, worker(1));
    let outlived = table.take_due(NOW);
    assert!(!outlived.is_empty());
    for reports in [[&possible, &outlived], [&outlived, &possible]] {
        let mut told = EndTable::default();
        for report in reports.into_iter().flatten() {
            told.note_told(NOW, report);
        }
        assert_eq!(told.count(&request("r2")), EndCount::NONE);
    }
}

/// Tries with shared content take over what is known of it, also what is settled later.
#[test]
fn outlived_exchanges_of_shared_content_are_settled_for_later_tries() {
    let mut table = EndTable::default();
    table.note_break(NOW, with(worker(1)), &shared("a1"), NOW);
    let mut told = EndTable::default();
    for report in table.take_due(NOW) {
        told.note_told(NOW, &report);
    }
    for table in [&mut table, &mut told] {
        table.begin(NOW, &shared("a2"));
        assert_eq!(table.count(&shared("a2")).unsettled, 1);
    }
    outlive(&mut table, worker(1));
    for report in table.take_due(NOW) {
        told.note_told(NOW, &report);
    }
    for table in [&table, &told] {
        assert_eq!(table.count(&shared("a2")), EndCount::NONE);
    }
}

/// Nodes of earlier versions name workers by their whole hash.
#[test]
fn ends_told_by_nodes_of_earlier_versions_count() {
    let mut table = EndTable::default();
    let told = EndedRequest {
        ended: vec![ExchangeKey(WorkerKey::of("w1").0)],
        possible: vec![ExchangeKey(WorkerKey::of("w2").0)],
        ..nothing_known(request("r1").content)
    };
    table.note_told(NOW, &told);
    assert_eq!(table.count(&request("r2")), ends(1, 1));
    assert!(table.has_ended(WorkerKey::of("w1")));
    assert!(table.may_have_ended(WorkerKey::of("w2")));
}

/// Sends of one request at this node, while they last.
#[test]
fn sends_in_progress_count_for_other_tries_of_the_request() {
    let mut table = EndTable::default();
    table.begin_send(&request("r1"));
    table.begin_send(&request("r2"));
    assert_eq!(table.count(&request("r3")).in_progress, 2);
    assert_eq!(table.count(&other("r4")).in_progress, 0);
    table.end_send(&request("r1"));
    table.end_send(&request("r2"));
    assert_eq!(table.count(&request("r3")), EndCount::NONE);
    // Others may send the same content.
    table.begin_send(&shared("a1"));
    assert_eq!(table.count(&shared("a2")), EndCount::NONE);
}

fn nothing_known(request: RequestKey) -> EndedRequest {
    EndedRequest {
        request,
        kind: KeyKind::Content,
        age: Duration::ZERO,
        ended: Vec::new(),
        possible: Vec::new(),
        outlived: Vec::new(),
    }
}

#[test]
fn an_end_counts_for_all_requests_that_the_worker_ran() {
    let mut table = EndTable::default();
    let (first, second) = (request("r1"), other("r2"));
    table.note_break(NOW, with(worker(1)), &first, NOW);
    table.note_break(NOW, with(worker(1)), &second, NOW);
    table.note_break(NOW, with(worker(2)), &second, NOW);
    let expected = ends(0, 2);
    assert_eq!(table.count(&second), expected);
    assert_eq!(table.note_ended(NOW, worker(1), false).len(), 2);
    outlive(&mut table, worker(2));
    for request in [first, second] {
        let expected = ends(1, 0);
        assert_eq!(table.count(&request), expected);
    }
}

#[test]
fn ends_add_up_over_tries_of_a_request() {
    let mut table = EndTable::default();
    for (number, id) in ["r1", "r2", "r3"].into_iter().enumerate() {
        let number = u32::try_from(number).expect("few tries");
        end(&mut table, &request(id), number);
        // What is known already makes no difference.
        end(&mut table, &request(id), number);
        let ended = usize::try_from(number).expect("few tries") + 1;
        assert_eq!(table.count(&request("later")).ended, ended);
    }
    assert_eq!(table.count(&other("r4")), EndCount::NONE);
}

#[test]
fn a_stream_is_known_by_the_attempt_that_began_it() {
    let mut table = EndTable::default();
    end(&mut table, &request("r1"), 1);
    let resumed = CallAttributes {
        resumes: Some("r1".to_owned()),
        ..plain("r2")
    };
    let changed = RequestContent {
        body: b"another body",
        ..content()
    };
    let again = RequestIdentity::of(&changed, &resumed);
    assert_eq!(table.count(&again).ended, 1);
}

/// Three callers with the same content meet an end each, at the same time.
#[test]
fn ends_of_requests_that_only_look_alike_do_not_add_up() {
    let mut table = EndTable::default();
    let callers = ["a1", "b1", "c1"].map(shared);
    for request in &callers {
        table.begin(NOW, request);
    }
    for (number, request) in (0..).zip(&callers) {
        end(&mut table, request, number);
    }
    let next = shared("a2");
    table.begin(NOW, &next);
    assert_eq!(table.count(&next).ended, 1);
    // Ends under one of them do.
    end(&mut table, &next, 7);
    let third = shared("a3");
    table.begin(NOW, &third);
    assert_eq!(table.count(&third).ended, 2);
    // One that is answered shows that the content isn't the cause.
    table.note_served(&third);
    let last = shared("a4");
    table.begin(NOW, &last);
    assert_eq!(table.count(&last), EndCount::NONE);
}

#[test]
fn a_worker_whose_record_comes_back_had_not_ended() {
    let mut table = EndTable::default();
    table.note_break(NOW, with(worker(1)), &request("r1"), NOW);
    table.note_ended(NOW, worker(1), true);
    end(&mut table, &request("r1"), 2);
    table.note_back(worker(1));
    // One that refused connections doesn't come back under its id.
    table.note_back(worker(2));
    assert_eq!(table.count(&request("r2")).ended, 1);
    assert!(!table.has_ended(worker(1)) && table.has_ended(worker(2)));
}

#[test]
fn a_break_stays_unsettled_until_the_worker_is_known_to_run() {
    let mut table = EndTable::default();
    let request = request("r1");
    table.note_break(NOW, with(worker(1)), &request, NOW);
    assert!(table.has_break(worker(1), &request));
    assert_eq!(table.count(&request).unsettled, 1);
    outlive(&mut table, worker(1));
    assert!(!table.has_break(worker(1), &request));
    assert_eq!(table.count(&request), EndCount::NONE);
}

#[test]
fn reports_are_repeated_and_what_is_told_is_not_told_on() {
    let mut table = EndTable::default();
    end(&mut table, &request("r1"), 1);
    let mut told = EndTable::default();
    let mut sent = 0;
    for step in 0..40 {
        let now = NOW + Duration::from_millis(100) * step;
        let due = table.take_due(now);
        sent += usize::from(!due.is_empty());
        for report in &due {
            told.note_told(now, report);
        }
    }
    assert_eq!(sent, 4);
    assert_eq!(told.count(&request("r2")).ended, 1);
    assert!(told.take_due(NOW + LIFETIME).is_empty());
    assert_eq!(told.all(NOW).len(), 2);
}

#[test]
fn requests_are_forgotten_once_their_callers_no_longer_come_back() {
    let mut table = EndTable::default();
    end(&mut table, &request("r1"), 1);
    let first = request("r1");
    let late = EndedRequest {
        ended: vec![key(&first, worker(1)), key(&first, worker(2))],
        ..nothing_known(first.content)
    };
    let half = NOW + LIFETIME / 2;
    table.note_told(half, &late);
    table.drop_old(NOW + LIFETIME + Duration::from_millis(1), LIFETIME);
    assert_eq!(table.count(&request("r2")).ended, 2);
    table.drop_old(half + LIFETIME + Duration::from_millis(1), LIFETIME);
    assert_eq!(table.count(&request("r2")), EndCount::NONE);
    assert!(table.is_empty() && !table.has_ended(worker(1)));
}

fn directory() -> WorkerDirectory {
    let mut workers = WorkerDirectory::new(Policy::default());
    for (id, zone) in [("w1", "a"), ("w2", "a"), ("w3", "b"), ("w4", "b")] {
        workers.upsert(common::engine(id, zone), NOW);
    }
    workers
}

/// Returns the worker that is found if `choose` prefers the first one in the order of their ids.
fn search(table: &EndTable, suspects: &Suspects, request: &RequestIdentity) -> Search<String> {
    let workers = directory();
    let knowledge = Knowledge {
        table,
        suspects,
        workers: &workers,
    };
    let avoided = workers_to_avoid(knowledge, request, "engines", NOW);
    find_apart(&avoided, table.count(request), |avoided| {
        let mut all: Vec<_> = workers.accepting("engines").collect();
        all.sort_by_key(|worker| avoided.contains(&worker.key()));
        let first = all.first()?;
        Some((first.key(), first.record.id.clone()))
    })
}

fn place(suspects: &mut Suspects, worker: &str, id: &str, ended: usize) {
    let placement = Placement {
        worker: WorkerKey::of(worker),
        attempt: other(id).attempt,
    };
    suspects.place(placement, ended);
}

fn end_at(table: &mut EndTable, request: &RequestIdentity, id: &str) {
    table.note_break(NOW, with(WorkerKey::of(id)), request, NOW);
    table.note_ended(NOW, WorkerKey::of(id), false);
}

#[test]
fn a_request_that_met_an_end_goes_where_no_other_of_its_kind_runs() {
    let mut table = EndTable::default();
    let mut suspects = Suspects::default();
    let found = |id: &str| Search::Found(id.to_owned());
    end_at(&mut table, &request("r1"), "w1");
    // Away from the zone of the end first.
    assert_eq!(search(&table, &suspects, &request("r1")), found("w3"));
    place(&mut suspects, "w3", "o1", 1);
    assert_eq!(search(&table, &suspects, &request("r1")), found("w4"));
    place(&mut suspects, "w4", "o2", 2);
    assert_eq!(search(&table, &suspects, &request("r1")), found("w3"));
    place(&mut suspects, "w3", "o3", 2);
    assert_eq!(search(&table, &suspects, &request("r1")), found("w2"));
    place(&mut suspects, "w2", "o4", 2);
    // All are shared, so that one with a single end takes what there is.
    assert_eq!(search(&table, &suspects, &request("r1")), found("w1"));
}

#[test]
fn a_request_with_two_ends_waits_rather_than_share_a_worker_with_another() {
    let mut table = EndTable::default();
    let mut suspects = Suspects::default();
    end_at(&mut table, &request("r1"), "w1");
    end_at(&mut table, &request("r1"), "w3");
    place(&mut suspects, "w2", "o1", 2);
    place(&mut suspects, "w4", "o2", 2);
    assert_eq!(search(&table, &suspects, &request("r1")), Search::NoneApart);
    suspects.release(Placement {
        worker: WorkerKey::of("w4"),
        attempt: other("o2").attempt,
    });
    let found = Search::Found("w4".to_owned());
    assert_eq!(search(&table, &suspects, &request("r1")), found);
}

#[test]
fn reports_of_where_requests_run_expire() {
    let mut suspects = Suspects::default();
    let placement = Placement {
        worker: worker(1),
        attempt: other("o1").attempt,
    };
    suspects.note_told(NOW, placement, 2);
    let is_shared = |suspects: &Suspects, after: Duration| {
        let shared = suspects.shared_with(NOW + after, request("r1").attempt);
        (shared.any.len(), shared.repeated.len())
    };
    assert_eq!(is_shared(&suspects, Duration::from_secs(2)), (1, 1));
    assert_eq!(is_shared(&suspects, Duration::from_secs(4)), (0, 0));
    // A request doesn't avoid itself.
    let own = suspects.shared_with(NOW, placement.attempt);
    assert!(own.any.is_empty());
}

/// Two requests met the same two ends, and two nodes are about to send them.
#[test]
fn requests_that_met_the_same_ends_are_sent_one_after_another() {
    let mut table = EndTable::default();
    let both = [request("r1"), other("r2")];
    for number in [1, 2] {
        for request in &both {
            table.note_break(NOW, with(worker(number)), request, NOW);
        }
        assert_eq!(pause_before_send(&table, &both[0]), Duration::ZERO);
        table.note_ended(NOW, worker(number), false);
    }
    let pauses: BTreeSet<Duration> = both
        .iter()
        .map(|request| pause_before_send(&table, request))
        .collect();
    assert_eq!(pauses.len(), 2);
    assert!(pauses.iter().all(|pause| *pause > Duration::ZERO));
}

#[test]
fn a_question_about_a_request_is_answered_by_all_its_keys() {
    let mut table = EndTable::default();
    end(&mut table, &request("r1"), 1);
    let keys: Vec<RequestKey> = request("r1").keys().collect();
    let known = table.get(NOW, &keys);
    assert_eq!(known.len(), 2);
    let ended = [key(&request("r1"), worker(1))];
    assert!(known.iter().all(|known| known.ended == ended));
    assert!(table.get(NOW, &[RequestKey(5)]).is_empty());
}

#[test]
fn possible_ends_are_told_and_count_at_other_nodes() {
    let mut table = EndTable::default();
    let mut told = EndTable::default();
    for number in [1, 2, 3] {
        table.note_break(NOW, with(worker(number)), &request("r1"), NOW);
    }
    for report in table.take_due(NOW) {
        told.note_told(NOW, &report);
    }
    let expected = ends(0, 3);
    assert_eq!(told.count(&request("r2")), expected);
    // Only the node that had an exchange can show that its worker outlived it.
    assert_eq!(outlive(&mut told, worker(1)), 0);
    outlive(&mut table, worker(1));
    for report in table.take_due(NOW) {
        told.note_told(NOW, &report);
    }
    // That a worker has ended, any node can.
    told.note_ended(NOW, worker(2), false);
    let expected = ends(1, 1);
    assert_eq!(told.count(&request("r2")), expected);
    assert!(told.may_have_ended(worker(3)) && !told.may_have_ended(worker(1)));
    // And it tells the end that it found.
    let found = told.take_due(NOW);
    assert!(!found.is_empty());
    let ended = [key(&request("r1"), worker(2))];
    assert!(found.iter().all(|known| known.ended == ended));
}

#[test]
fn a_possible_end_at_a_worker_that_is_known_to_have_ended_is_an_end() {
    let mut table = EndTable::default();
    table.note_ended(NOW, worker(1), false);
    let first = request("r1");
    let told = EndedRequest {
        possible: vec![key(&first, worker(1))],
        ..nothing_known(first.content)
    };
    table.note_told(NOW, &told);
    assert_eq!(table.count(&request("r2")).ended, 1);
}

#[test]
fn a_possible_end_is_told_only_from_its_time_on() {
    let mut table = EndTable::default();
    let later = NOW + Duration::from_millis(300);
    table.note_break(NOW, with(worker(1)), &request("r1"), later);
    assert!(table.take_due(NOW).is_empty());
    assert!(!table.take_due(later).is_empty());
}

#[test]
fn possible_ends_are_forgotten_once_callers_no_longer_come_back() {
    let mut table = EndTable::default();
    table.note_break(NOW, with(worker(1)), &request("r1"), NOW);
    table.drop_old(NOW + LIFETIME + Duration::from_millis(1), LIFETIME);
    assert!(table.is_empty() && !table.has_break(worker(1), &request("r1")));
}

/// A caller without a program repeats a request whose workers fall silent; others look alike.
#[test]
fn possible_ends_add_up_over_tries_with_shared_content() {
    let mut table = EndTable::default();
    for (number, id) in (0..).zip(["a1", "a2", "a3"]) {
        let request = shared(id);
        table.begin(NOW, &request);
        table.note_break(NOW, with(worker(number)), &request, NOW);
    }
    let next = shared("a4");
    table.begin(NOW, &next);
    assert_eq!(table.count(&next).unsettled, 3);
    outlive(&mut table, worker(0));
    table.note_ended(NOW, worker(1), false);
    let expected = ends(1, 1);
    assert_eq!(table.count(&next), expected);

    let mut table = EndTable::default();
    let callers = ["a1", "b1", "c1"].map(shared);
    for request in &callers {
        table.begin(NOW, request);
    }
    for (number, request) in (0..).zip(&callers) {
        table.note_break(NOW, with(worker(number)), request, NOW);
    }
    table.begin(NOW, &next);
    assert_eq!(table.count(&next).unsettled, 1);
}

#[test]
fn a_node_records_the_ends_that_it_noted_and_what_may_follow() {
    let mut table = EndTable::default();
    table.note_break(NOW, with(worker(1)), &request("r1"), NOW);
    // A possible end alone is not worth a record.
    assert!(table.to_record(NOW).is_empty());
    table.note_ended(NOW, worker(1), false);
    table.note_break(NOW, with(worker(2)), &request("r1"), NOW);
    let recorded = table.to_record(NOW);
    assert!(!recorded.is_empty());
    let mut restarted = EndTable::default();
    let mut another = EndTable::default();
    for known in &recorded {
        restarted.take_own_recorded(NOW, known);
        another.note_told(NOW, known);
    }
    let expected = ends(1, 1);
    assert_eq!(restarted.count(&request("r2")), expected);
    assert_eq!(another.count(&request("r2")), expected);
    // The process after it keeps its record; other nodes leave it to that.
    assert_eq!(restarted.to_record(NOW).len(), recorded.len());
    assert!(another.to_record(NOW).is_empty());
    restarted.drop_old(NOW + LIFETIME + Duration::from_millis(1), LIFETIME);
    assert!(restarted.to_record(NOW).is_empty());
}
