//! Requests to join and to leave that arrive after later ones.

use raft::{
    Membership, MembershipChange, NodeId,
    joining::{
        GroupView, LeaveStep, Presence, SilenceLimits, needs_presence, next_join_step,
        next_leave_step, next_upkeep_step,
    },
};
use std::collections::{BTreeMap, BTreeSet};

/// Address of the VM whose disk was lost; its nodes were 5 and then 6.
const ADDRESS: &str = "10.0.0.5:1";
/// Number of voters that the group should have.
const TARGET: usize = 5;
/// Ticks of silence after which members are replaced or removed.
const LIMITS: SilenceLimits =
    SilenceLimits { lost: 6, absent: 20, listening: 600, forgotten: 6_000 };

/// Calls `f` with the view of a leader that hears all members.
fn with_view<T>(members: &Membership, f: impl FnOnce(GroupView<'_>) -> T) -> T {
    let all: BTreeSet<NodeId> = members.nodes().collect();
    let address = |id: NodeId| match id {
        5 | 6 => String::from(ADDRESS),
        _ => format!("10.0.0.{id}:1"),
    };
    f(GroupView {
        members,
        silent_ticks: &BTreeMap::new(),
        reachable: &all,
        caught_up: &members.learners,
        confirmed: &BTreeSet::new(),
        addresses: &all.iter().map(|id| (*id, address(*id))).collect(),
        target_voters: TARGET,
        presence: &BTreeMap::new(),
        known_lost: &BTreeSet::new(),
        limits: LIMITS,
    })
}

/// Members after these changes, each of which is complete.
fn members(changes: &[MembershipChange]) -> Membership {
    changes.iter().fold(Membership::initial(1, 1..=5), |members, change| {
        let next = members.after(*change).expect("a valid change");
        if next.is_joint() { next.after_joint() } else { next }
    })
}

/// Guards against a former node of a VM whose request, held up in the network, removes the node
/// that the VM has now.
#[test]
fn a_late_request_to_join_of_a_former_node_changes_nothing() {
    use MembershipChange::{AddLearner, Demote, Exchange, Remove};
    let exchanged = members(&[AddLearner(6), Exchange { old: 5, new: 6 }, Remove(5)]);
    let joining = members(&[Demote(5), Remove(5), AddLearner(6)]);
    for members in [exchanged, joining] {
        assert_eq!(with_view(&members, |view| next_join_step(view, 5, ADDRESS)), None);
    }
}

/// The same for its request to leave, also if it had never become a member.
#[test]
fn a_late_request_to_leave_of_a_former_node_changes_nothing() {
    use MembershipChange::{AddLearner, Exchange, Remove};
    let members = members(&[AddLearner(6), Exchange { old: 5, new: 6 }, Remove(5)]);
    for former in [5, 9] {
        let step = with_view(&members, |view| next_leave_step(view, former, ADDRESS));
        assert!(matches!(step, LeaveStep::Keep | LeaveStep::Wait), "{step:?}");
    }
}

/// A member asked to leave, was told to stay, as it had no successor, and runs again.
#[test]
fn a_late_request_to_leave_of_a_member_that_has_restarted_changes_nothing() {
    let members = members(&[]);
    let step = with_view(&members, |view| next_leave_step(view, 3, "10.0.0.3:1"));
    assert_eq!(step, LeaveStep::Keep);
}

#[test]
fn nobody_joins_or_leaves_during_an_exchange() {
    use MembershipChange::{AddLearner, Exchange};
    let members = members(&[AddLearner(6), AddLearner(7)]);
    let members = members.after(Exchange { old: 5, new: 6 }).expect("a valid change");
    with_view(&members, |view| {
        assert_eq!(next_join_step(view, 7, "10.0.0.7:1"), None);
        assert_eq!(next_join_step(view, 8, "10.0.0.8:1"), None);
        for id in [1, 5, 6, 7] {
            assert_eq!(next_leave_step(view, id, "10.0.0.9:1"), LeaveStep::Wait);
        }
    });
}

/// Calls `f` with the view of a leader of these members that hasn't heard the `silent` ones for
/// this number of ticks.
fn with_silent<T>(
    members: &Membership,
    silent: &[(NodeId, u32, Presence)],
    f: impl FnOnce(GroupView<'_>) -> T,
) -> T {
    let silent_ticks = silent.iter().map(|(id, ticks, _)| (*id, *ticks)).collect();
    let presence = silent.iter().map(|(id, _, presence)| (*id, *presence)).collect();
    let reachable = members.nodes().filter(|id| silent.iter().all(|(s, ..)| s != id)).collect();
    with_view(members, |view| {
        f(GroupView {
            silent_ticks: &silent_ticks,
            presence: &presence,
            reachable: &reachable,
            confirmed: &members.learners,
            ..view
        })
    })
}

/// Calls [`next_join_step`] for a learner that replaces one of five voters. Of these, the `silent`
/// ones haven't been heard for this number of ticks.
fn replacement(silent: &[(NodeId, u32, Presence)]) -> Option<MembershipChange> {
    let members = members(&[MembershipChange::AddLearner(6)]);
    with_silent(&members, silent, |view| next_join_step(view, 6, "10.0.0.7:1"))
}

/// A voter that was suspended for longer lost its vote to the successor of one that was gone: the
/// group counted a disk that was gone, and didn't count one that was whole.
#[test]
fn a_voter_that_is_gone_is_replaced_before_one_that_is_suspended_for_longer() {
    let exchange = Some(MembershipChange::Exchange { old: 4, new: 6 });
    for gone in [Presence::Refused, Presence::Unreachable] {
        let silent = [(3, 500, Presence::Listening), (4, LIMITS.absent, gone)];
        assert_eq!(replacement(&silent), exchange);
        let too_short = [(3, 500, Presence::Listening), (4, LIMITS.absent - 1, gone)];
        assert_eq!(replacement(&too_short), None);
    }
}

/// A voter that is down with its disk lost its vote to the successor of one that is gone, whichever
/// of the two looked more like being gone: the group went on to count a disk that was gone, and not
/// the one that was whole.
#[test]
fn two_absent_voters_are_exchanged_together() {
    use MembershipChange::{Exchange, ExchangeTwo};
    let ticks = LIMITS.absent;
    for (first, second) in [
        (Presence::Refused, Presence::Unreachable),
        (Presence::Unreachable, Presence::Refused),
        (Presence::Refused, Presence::Refused),
        (Presence::Unreachable, Presence::Unreachable),
    ] {
        for (of_first, of_second) in [(ticks, ticks), (ticks + 5, ticks)] {
            let change = replacement(&[(3, of_first, first), (4, of_second, second)]);
            assert!(
                matches!(change, Some(ExchangeTwo { old: [3, 4] | [4, 3], new: 6 })),
                "{change:?} for {first:?} and {second:?}"
            );
        }
        // No voter loses its vote that hasn't been silent for long enough, nor one beside such a
        // voter.
        assert_eq!(replacement(&[(3, ticks, first), (4, ticks - 1, second)]), None);
    }
    let suspended = [(3, ticks, Presence::Listening), (4, ticks, Presence::Refused)];
    assert_eq!(replacement(&suspended), Some(Exchange { old: 4, new: 6 }));
}

/// The successor was promoted beside the other absent voter, before that was set aside as well:
/// with the successor lost again and one more disk, two voters of five were left, and the disk of
/// the voter that came back didn't count.
#[test]
fn beside_a_voter_that_was_set_aside_the_other_absent_one_is_exchanged() {
    use MembershipChange::{AddLearner, Demote, Exchange, Promote};
    let silent = [(3, 50, Presence::Refused), (4, 50, Presence::Unreachable)];
    let changes = [AddLearner(6), Demote(4), Exchange { old: 3, new: 6 }];
    let one_aside = members(&changes[..2]);
    let step = with_silent(&one_aside, &silent, |view| next_join_step(view, 6, "10.0.0.7:1"));
    assert_eq!(step, Some(changes[2]));
    // Four voters that answer are left, and none of them is set aside for a learner.
    let both_aside = members(&changes);
    with_silent(&both_aside, &silent, |view| {
        assert!(!needs_presence(view));
        assert_eq!(next_upkeep_step(view), None);
    });
    for id in [3, 4] {
        let address = format!("10.0.0.{id}:1");
        let back = with_silent(&both_aside, &[], |view| next_join_step(view, id, &address));
        assert_eq!(back, Some(Promote(id)));
    }
}

/// A voter that was down lost its vote beside a learner that was gone for good: with two further
/// VMs gone for good, half of four voters were left, and nothing told of the losses.
#[test]
fn a_voter_that_is_absent_beside_an_absent_learner_keeps_its_vote() {
    use MembershipChange::{AddLearner, Exchange};
    let members = members(&[AddLearner(7), Exchange { old: 4, new: 7 }]);
    for presence in [Presence::Refused, Presence::Unreachable, Presence::Listening] {
        let silent = [(3, 700, presence), (4, 750, Presence::Unreachable)];
        with_silent(&members, &silent, |view| {
            assert!(!needs_presence(view));
            assert_eq!(next_upkeep_step(view), None);
        });
    }
}

/// Of six voters, of which one was gone and one was down, the wrong one was removed.
#[test]
fn two_absent_voters_of_a_group_with_one_too_many_are_demoted_together() {
    use MembershipChange::{AddLearner, Demote, DemoteTwo, Promote};
    let six = members(&[AddLearner(6), Promote(6)]);
    let ticks = LIMITS.absent;
    let step = |silent: &[(NodeId, u32, Presence)]| {
        with_silent(&six, silent, |view| (needs_presence(view), next_upkeep_step(view)))
    };
    let both = [(3, ticks, Presence::Refused), (4, ticks + 5, Presence::Refused)];
    assert_eq!(step(&both), (true, Some(DemoteTwo([3, 4]))));
    assert_eq!(step(&[both[0], (4, ticks - 1, Presence::Refused)]), (true, None));
    assert_eq!(step(&both[..1]), (true, Some(Demote(3))));
    assert_eq!(step(&[both[0], (4, 500, Presence::Listening)]), (true, Some(Demote(3))));
}

#[test]
fn no_voter_is_set_aside_from_a_group_of_the_least_size() {
    use MembershipChange::{AddLearner, Demote};
    let members = members(&[AddLearner(6), Demote(5)]);
    let silent = [(4, 500, Presence::Unreachable), (6, 500, Presence::Refused)];
    with_silent(&members, &silent, |view| {
        assert_eq!(next_upkeep_step(view), None);
        assert!(!needs_presence(view));
    });
}

/// A suspended voter lost its vote to a successor whose predecessor was still to leave.
#[test]
fn a_suspended_voter_keeps_its_vote_for_as_long_as_it_may_come_back() {
    let ticks = LIMITS.listening;
    assert_eq!(replacement(&[(3, ticks - 1, Presence::Listening)]), None);
    let exchange = Some(MembershipChange::Exchange { old: 3, new: 6 });
    assert_eq!(replacement(&[(3, ticks, Presence::Listening)]), exchange);
}

/// What isn't known of one silent voter could be what tells that another one is gone.
#[test]
fn no_voter_is_replaced_while_the_presence_of_one_is_unknown() {
    let members = members(&[MembershipChange::AddLearner(7)]);
    let silent = [(3, 500, Presence::Unreachable), (4, 500, Presence::Unreachable)];
    let presence = [(3, Presence::Unreachable)].into();
    with_silent(&members, &silent, |view| {
        let view = GroupView { presence: &presence, ..view };
        assert_eq!(next_join_step(view, 7, "10.0.0.7:1"), None);
        assert_eq!(next_upkeep_step(view), None);
    });
}

/// Of six voters, the suspended one was removed, and the one that was gone stayed.
#[test]
fn a_voter_that_is_gone_is_the_surplus_one_rather_than_a_suspended_one() {
    let members = members(&[MembershipChange::AddLearner(6), MembershipChange::Promote(6)]);
    let silent = [(3, 500, Presence::Listening), (4, 20, Presence::Unreachable)];
    with_silent(&members, &silent, |view| {
        assert!(needs_presence(view));
        assert_eq!(next_upkeep_step(view), Some(MembershipChange::Demote(4)));
    });
}

/// Guards against a node that took the place of another one at its address, and loses it again as
/// the former one is a learner still: it asked to leave or to join before it lost its disk, and the
/// request was held up in the network.
#[test]
fn a_late_request_of_a_former_node_that_is_a_learner_still_takes_no_vote() {
    use MembershipChange::{AddLearner, Exchange, Remove};
    let members = members(&[AddLearner(6), Exchange { old: 5, new: 6 }]);
    for ticks in [3, LIMITS.absent] {
        with_silent(&members, &[(5, ticks, Presence::Refused)], |view| {
            let is_removed = ticks >= LIMITS.absent;
            assert_eq!(next_upkeep_step(view), is_removed.then_some(Remove(5)));
            let join = next_join_step(view, 5, ADDRESS);
            assert!(matches!(join, None | Some(Remove(5))), "{join:?}");
            let leave = next_leave_step(view, 5, ADDRESS);
            let is_harmless =
                matches!(leave, LeaveStep::Keep | LeaveStep::Wait | LeaveStep::Change(Remove(5)));
            assert!(is_harmless, "{leave:?}");
        });
    }
}

/// A node that had come back without its disk, and had yet to catch up, was removed, as the address
/// was that of a voter: its former node.
#[test]
fn a_node_that_catches_up_at_the_address_of_its_former_one_is_not_removed() {
    let members = members(&[MembershipChange::AddLearner(6)]);
    for ticks in [1, 50] {
        let step = with_silent(&members, &[(5, ticks, Presence::Listening)], next_upkeep_step);
        assert_eq!(step, None);
    }
}

/// A learner that had just been added was removed, as the last answer of its former node came after
/// that.
#[test]
fn a_learner_whose_disk_is_lost_is_removed_once_it_is_absent() {
    use MembershipChange::{AddLearner, Demote, Exchange, Remove};
    let exchanged = members(&[AddLearner(6), Exchange { old: 5, new: 6 }]);
    let step = |ticks| with_silent(&exchanged, &[(5, ticks, Presence::Refused)], next_upkeep_step);
    assert_eq!(step(LIMITS.absent), Some(Remove(5)));
    assert_eq!(step(LIMITS.absent - 1), None);
    // A node that comes back without its disk takes the place of its former one, a learner by now.
    let demoted = members(&[Demote(5)]);
    let step = with_view(&demoted, |view| next_join_step(view, 6, ADDRESS));
    assert_eq!(step, Some(Remove(5)));
    // Its vote is taken by another node, and its address by none.
    let replaced = members(&[AddLearner(7), Exchange { old: 5, new: 7 }]);
    let step = with_silent(&replaced, &[(5, 5_999, Presence::Refused)], next_upkeep_step);
    assert_eq!(step, None);
}

#[test]
fn a_successor_is_exchanged_for_the_only_absent_voter() {
    for presence in [Presence::Refused, Presence::Unreachable] {
        let exchange = Some(MembershipChange::Exchange { old: 4, new: 6 });
        assert_eq!(replacement(&[(4, LIMITS.absent, presence)]), exchange);
        assert_eq!(replacement(&[(4, LIMITS.absent - 1, presence)]), None);
    }
    // The node that comes back without its disk takes the place of its former one, whoever else is
    // absent.
    let members = members(&[MembershipChange::AddLearner(6)]);
    let silent = [(3, 50, Presence::Refused), (5, 1, Presence::Listening)];
    let step = with_silent(&members, &silent, |view| next_join_step(view, 6, ADDRESS));
    assert_eq!(step, Some(MembershipChange::Exchange { old: 5, new: 6 }));
}

/// A learner was promoted beside a voter that was gone: of five voters, two further lost disks left
/// two, and the disk of another learner that came back didn't count.
#[test]
fn a_learner_that_answers_is_promoted_while_the_group_has_too_few_voters() {
    use MembershipChange::{Demote, Exchange, Promote};
    let step_of = |members: &Membership, silent: &[(NodeId, u32, Presence)]| {
        with_silent(members, silent, |view| next_join_step(view, 4, "10.0.0.4:1"))
    };
    let four = members(&[Demote(4)]);
    assert_eq!(step_of(&four, &[]), Some(Promote(4)));
    // Four are enough, so the learner takes the place of one that doesn't answer.
    let ticks = LIMITS.absent;
    assert_eq!(step_of(&four, &[(3, ticks - 1, Presence::Refused)]), None);
    let exchange = Some(Exchange { old: 3, new: 4 });
    assert_eq!(step_of(&four, &[(3, ticks, Presence::Refused)]), exchange);
    // A suspended voter has its disk, and the group can't spare the learner meanwhile.
    assert_eq!(step_of(&four, &[(3, ticks, Presence::Listening)]), Some(Promote(4)));
    let three = members(&[Demote(4), Demote(5)]);
    assert_eq!(step_of(&three, &[]), Some(Promote(4)));
    assert_eq!(step_of(&three, &[(3, 5, Presence::Refused)]), None);
}

#[test]
fn a_learner_that_has_been_silent_for_very_long_is_removed_once_all_voters_answer() {
    use MembershipChange::{AddLearner, Demote, Exchange, Remove};
    let whole = members(&[AddLearner(7), Exchange { old: 5, new: 7 }]);
    let ticks = LIMITS.forgotten;
    let step = |members: &Membership, silent: &[(NodeId, u32, Presence)]| {
        with_silent(members, silent, next_upkeep_step)
    };
    assert_eq!(step(&whole, &[(5, ticks, Presence::Unreachable)]), Some(Remove(5)));
    assert_eq!(step(&whole, &[(5, ticks - 1, Presence::Unreachable)]), None);
    // One of two that are silent may be the one that comes back, and a small group needs each disk.
    let silent = [(5, ticks, Presence::Unreachable), (3, 1, Presence::Refused)];
    assert_eq!(step(&whole, &silent), None);
    let small = members(&[Demote(5)]);
    assert_eq!(step(&small, &[(5, ticks, Presence::Unreachable)]), None);
}

#[test]
fn a_voter_that_stops_as_planned_is_demoted_and_then_removed_if_there_is_one_too_many() {
    use MembershipChange::{AddLearner, Demote, Promote, Remove};
    let changes = [AddLearner(6), Promote(6), Demote(3), Remove(3)];
    let step = |count: usize| {
        let members = members(&changes[..count]);
        with_silent(&members, &[], |view| next_leave_step(view, 3, "10.0.0.3:1"))
    };
    assert_eq!(step(1), LeaveStep::Change(Promote(6)), "a successor waits");
    assert_eq!(step(2), LeaveStep::Change(Demote(3)));
    assert_eq!(step(3), LeaveStep::Change(Remove(3)));
    assert_eq!(step(4), LeaveStep::Wait, "until the removal is committed");
    assert_eq!(step(0), LeaveStep::Keep, "it may just restart");
}

/// A voter stopped for good kept its vote beside a learner that was set aside and came back: the
/// group counted a disk that was gone, and not the one that was whole.
#[test]
fn a_voter_that_stops_as_planned_beside_an_absent_learner_stays_as_a_learner() {
    use MembershipChange::{AddLearner, Demote, Exchange};
    let changes = [AddLearner(6), Exchange { old: 5, new: 6 }, Demote(3), Demote(2)];
    let silent = [(5, LIMITS.absent, Presence::Refused)];
    let addresses = [(5, "10.0.0.8:1")];
    let step = |count: usize, id: NodeId, silent: &[(NodeId, u32, Presence)]| {
        let members = members(&changes[..count]);
        with_silent(&members, silent, |view| {
            let mut known = view.addresses.clone();
            known.extend(addresses.map(|(id, address)| (id, String::from(address))));
            let view = GroupView { addresses: &known, ..view };
            next_leave_step(view, id, &format!("10.0.0.{id}:1"))
        })
    };
    assert_eq!(step(2, 3, &silent), LeaveStep::Change(Demote(3)));
    assert_eq!(step(3, 3, &silent), LeaveStep::Keep, "a learner that the group needs");
    let ended = [silent[0], (3, LIMITS.absent, Presence::Refused)];
    assert_eq!(step(3, 2, &ended), LeaveStep::Keep, "four voters are the least");
    // A learner that answers joins first.
    let too_short = [(5, LIMITS.absent - 1, Presence::Refused)];
    assert!(!matches!(step(2, 3, &too_short), LeaveStep::Change(Demote(_))));
    // Without the one that stops, the others must be a majority.
    let two_silent = [silent[0], (1, 5, Presence::Refused), (2, 5, Presence::Refused)];
    assert_eq!(step(2, 3, &two_silent), LeaveStep::Wait);
}
