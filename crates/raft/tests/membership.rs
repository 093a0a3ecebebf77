//! Quorums of members while the voters are changed or some of their disks are known to be lost, and what a build
//! without joint memberships takes them for.

use raft::{Membership, MembershipChange, NodeId};
use std::collections::BTreeSet;

/// Voters 1 to `voters` and the learner after them.
fn with_learner(voters: NodeId) -> Membership {
    let members = Membership::initial(1, 1..=voters);
    members.after(MembershipChange::AddLearner(voters + 1)).expect("a new node")
}

/// Voters 1 to `voters`, the last of which is being exchanged for the next node.
fn joint(voters: NodeId) -> Membership {
    let exchange = MembershipChange::Exchange { old: voters, new: voters + 1 };
    with_learner(voters).after(exchange).expect("a voter and a learner")
}

/// Each kind of joint membership of the voters 1 to `voters`: the next node comes in, the last one goes out, or both.
fn joints(voters: NodeId) -> Vec<Membership> {
    let members = with_learner(voters);
    let promoted = members.after(MembershipChange::Promote(voters + 1));
    let demoted = members.after(MembershipChange::Demote(voters));
    [promoted.ok(), demoted.ok(), Some(joint(voters))].into_iter().flatten().collect()
}

/// All sets of the nodes 1 to `nodes`, as functions of a node.
fn subsets(nodes: NodeId) -> impl Iterator<Item = impl Fn(NodeId) -> bool + Copy> {
    (0u32..1 << nodes).map(|mask| move |id: NodeId| mask >> (id - 1) & 1 == 1)
}

/// Whether a build that doesn't know exchanges takes these nodes for a majority.
fn has_majority_of_all(members: &Membership, f: impl Fn(NodeId) -> bool) -> bool {
    members.voters.iter().filter(|id| f(**id)).count() > members.voters.len() / 2
}

#[test]
fn a_joint_quorum_is_a_majority_before_and_after_the_exchange() {
    let members = joint(5);
    assert!(members.is_joint());
    assert_eq!(members.current_voters().collect::<Vec<_>>(), [1, 2, 3, 4, 5]);
    assert_eq!(members.next_voters().collect::<Vec<_>>(), [1, 2, 3, 4, 6]);
    assert!(members.has_quorum(|id| [1, 2, 3].contains(&id)));
    assert!(members.has_quorum(|id| [1, 2, 5, 6].contains(&id)));
    assert!(!members.has_quorum(|id| [1, 2, 5].contains(&id)));
    assert!(!members.has_quorum(|id| [1, 2, 6].contains(&id)));
    assert_eq!(members.quorum_value(|id| [0, 9, 8, 1, 1, 7, 5][id as usize]), 5);
    assert_eq!(members.nodes().collect::<Vec<_>>(), [1, 2, 3, 4, 5, 6]);
    let after = members.after_joint();
    assert_eq!(after.voters, [1, 2, 3, 4, 6].into());
    assert_eq!(after.learners, [5].into());
    assert!(after.retired.is_empty() && !members.is_retired(5) && !after.is_joint());
}

#[test]
fn no_other_change_begins_during_a_change_of_the_voters() {
    for members in joints(3) {
        for change in [
            MembershipChange::AddLearner(9),
            MembershipChange::Promote(4),
            MembershipChange::Demote(1),
            MembershipChange::Remove(1),
            MembershipChange::Remove(4),
            MembershipChange::Exchange { old: 1, new: 4 },
        ] {
            assert!(members.after(change).unwrap_err().is_refused_change(), "{change:?}");
        }
    }
}

#[test]
fn a_promotion_and_a_demotion_need_a_majority_before_and_afterwards() {
    let members = with_learner(4);
    let growing = members.after(MembershipChange::Promote(5)).expect("a learner");
    assert!(growing.is_joint());
    assert!(growing.has_quorum(|id| [1, 2, 3].contains(&id)));
    assert!(!growing.has_quorum(|id| [1, 2, 5].contains(&id)), "no majority of the four");
    let grown = growing.after_joint();
    assert_eq!((grown.voters, grown.learners), ([1, 2, 3, 4, 5].into(), [].into()));

    let shrinking =
        Membership::initial(1, 1..=5).after(MembershipChange::Demote(5)).expect("a voter");
    assert!(shrinking.is_joint() && shrinking.contains(5) && !shrinking.is_retired(5));
    assert!(shrinking.has_quorum(|id| [1, 2, 3].contains(&id)));
    assert!(!shrinking.has_quorum(|id| [1, 2, 5].contains(&id)), "no majority of the four");
    let shrunk = shrinking.after_joint();
    assert_eq!((&shrunk.voters, &shrunk.learners), (&[1, 2, 3, 4].into(), &[5].into()));
    assert!(shrunk.retired.is_empty());
    let back = shrunk.after(MembershipChange::Promote(5)).expect("a former voter").after_joint();
    assert_eq!(back, Membership::initial(1, 1..=5));
}

/// A voter that is removed in one step could be the one whose place a majority of the others takes.
#[test]
fn only_a_learner_is_removed() {
    let members = with_learner(3);
    let refused = members.after(MembershipChange::Remove(1)).unwrap_err();
    assert!(refused.is_refused_change());
    assert!(refused.to_string().contains("a voter; demote it first"), "{refused}");
    let demoted = members.after(MembershipChange::Demote(1)).expect("a voter").after_joint();
    let removed = demoted.after(MembershipChange::Remove(1)).expect("a learner");
    assert!(removed.is_retired(1) && !removed.is_joint());
    for change in [MembershipChange::AddLearner(1), MembershipChange::Promote(1)] {
        assert!(removed.after(change).unwrap_err().is_refused_change(), "{change:?}");
    }
    let single = Membership::initial(1, [1]);
    assert!(single.after(MembershipChange::Demote(1)).unwrap_err().is_refused_change());
}

/// With any two disks of six lost, the other four are a quorum at each step of an exchange, if all of them
/// come back.
#[test]
fn the_disks_that_are_left_of_a_group_of_five_are_a_quorum_at_each_step() {
    let before = Membership::initial(1, 1..=5);
    for is_left in subsets(6).filter(|f| (1..=6).filter(|id| f(*id)).count() == 4) {
        for members in [&before, &joint(5), &joint(5).after_joint()] {
            assert!(members.has_quorum(is_left), "{members:?}");
        }
    }
}

/// The same for a voter that is set aside, where the two disks are known to be lost: a majority of four is three.
#[test]
fn the_disks_that_are_left_are_a_quorum_at_each_step_of_a_demotion() {
    let before = Membership::initial(1, 1..=5);
    let joint = before.after(MembershipChange::Demote(5)).expect("a voter");
    for is_left in subsets(5).filter(|f| (1..=5).filter(|id| f(*id)).count() == 3) {
        let lost = (1..=5).filter(|id| !is_left(*id)).collect();
        for members in [&before, &joint, &joint.after_joint()] {
            assert!(members.has_quorum_without(&lost, is_left), "{members:?} without {lost:?}");
        }
    }
}

/// All sets of the nodes 1 to `nodes`.
fn sets(nodes: NodeId) -> Vec<BTreeSet<NodeId>> {
    subsets(nodes).map(|f| (1..=nodes).filter(|id| f(*id)).collect()).collect()
}

#[test]
fn half_of_an_even_number_of_voters_is_a_quorum_only_with_a_known_loss() {
    for voters in 1..=6 {
        let members = Membership::initial(1, 1..=voters);
        for lost in sets(voters) {
            let needed = match voters % 2 == 0 && !lost.is_empty() {
                true => voters / 2,
                false => voters / 2 + 1,
            };
            for set in sets(voters) {
                let counting = set.difference(&lost).count() as u64;
                let is_quorum = members.has_quorum_without(&lost, |id| set.contains(&id));
                assert_eq!(is_quorum, counting >= needed, "{set:?} of {voters}, lost {lost:?}");
            }
        }
        // What is known of nodes that are no voters changes nothing.
        let other = [voters + 1].into();
        for set in sets(voters) {
            let counts = |id| set.contains(&id);
            assert_eq!(members.has_quorum_without(&other, counts), members.has_quorum(counts));
        }
    }
}

#[test]
fn the_value_of_a_quorum_is_the_highest_that_each_node_of_one_reaches() {
    let values = |id: NodeId| [0, 3, 9, 1, 7, 5, 2, 8][id as usize];
    for members in (1..=5).flat_map(joints).flat_map(|m| [m.after_joint(), m]) {
        for lost in sets(6) {
            let reached = |value| members.has_quorum_without(&lost, |id| values(id) >= value);
            let highest = (1..=9).rev().find(|value| reached(*value)).unwrap_or(0);
            assert_eq!(members.quorum_value_without(&lost, values), highest, "{members:?}");
        }
    }
}

/// Two leaders, or two different entries at one index, would follow from quorums without a node in common. With half of
/// an even number of voters there are such quorums, but each of them has a node that the other one takes for lost: it
/// would have had to act after its own loss.
#[test]
fn quorums_overlap_unless_each_has_a_node_that_is_lost_for_the_other() {
    for voters in 1..=5 {
        for joint in joints(voters) {
            let after = joint.after_joint();
            let before = with_learner(voters);
            for (a, b) in
                [(&before, &before), (&before, &joint), (&joint, &joint), (&joint, &after)]
            {
                check_overlap(a, b, voters + 1);
            }
        }
    }
}

fn check_overlap(first: &Membership, second: &Membership, nodes: NodeId) {
    let quorums = |members: &Membership| -> Vec<(BTreeSet<NodeId>, BTreeSet<NodeId>)> {
        let pairs = sets(nodes)
            .into_iter()
            .flat_map(|lost| sets(nodes).into_iter().map(move |set| (lost.clone(), set)));
        // A node that is taken for lost isn't heard.
        pairs
            .filter(|(lost, set)| lost.is_disjoint(set))
            .filter(|(lost, set)| members.has_quorum_without(lost, |id| set.contains(&id)))
            .collect()
    };
    let (of_first, of_second) = (quorums(first), quorums(second));
    for (lost_a, a) in &of_first {
        for (lost_b, b) in of_second.iter().filter(|(_, b)| a.is_disjoint(b)) {
            assert!(
                !lost_a.is_disjoint(b) && !lost_b.is_disjoint(a),
                "{a:?} without {lost_a:?} of {first:?}, {b:?} without {lost_b:?} of {second:?}"
            );
        }
    }
}

/// Any two quorums that may decide side by side have a node in common, also if some nodes run a build
/// that takes the joint membership for one with an additional voter.
#[test]
fn quorums_of_builds_with_and_without_joint_memberships_overlap() {
    for (voters, joint) in (1..=7).flat_map(|n| joints(n).into_iter().map(move |joint| (n, joint)))
    {
        let before = Membership::initial(1, 1..=voters);
        let after = joint.after_joint();
        let count = voters + 1;
        let are_disjoint = |a: &dyn Fn(NodeId) -> bool, b: &dyn Fn(NodeId) -> bool| {
            (1..=count).all(|id| !(a(id) && b(id)))
        };
        for a in subsets(count) {
            for b in subsets(count).filter(|b| are_disjoint(&a, b)) {
                let decides = [joint.has_quorum(a), has_majority_of_all(&joint, a)];
                let others = [
                    before.has_quorum(b),
                    joint.has_quorum(b),
                    has_majority_of_all(&joint, b),
                    after.has_quorum(b),
                ];
                assert!(!(decides.contains(&true) && others.contains(&true)), "{voters} voters");
            }
        }
    }
}

/// Such a build removes the outgoing voter, and leaves the incoming one among the learners. This build
/// finds an exchange that it can end. The id stays retired.
#[test]
fn an_exchange_that_another_build_went_on_with_can_be_ended() {
    let mut members = joint(5);
    members.voters.remove(&5);
    assert!(members.is_joint());
    let after = members.after_joint();
    assert_eq!(after.voters, joint(5).after_joint().voters);
    assert!(after.learners.is_empty() && after.is_retired(5) && !after.is_joint());
}
