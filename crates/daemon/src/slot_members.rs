//! The live members from which the slot task computes the owners of the slot ledgers.

use rosemaryscale_domain::member::MemberId;
use std::sync::Arc;

use rosemaryscale_domain::slots::{ViewId, view_id};
use rosemaryscale_ports::member::MemberView;
use rosemaryscale_ports::slots::{LiveMember, LiveMembers};

/// The newest list of live members from the platform or from a peer.
#[derive(Debug, Default)]
pub struct SlotMembers {
    current: LiveMembers,
}

/// Difference between a new list and the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Whether this daemon is live in both lists under the same registration.
    pub was_continuously_live: bool,
    /// Whether a member is known or assumed to have vanished without a graceful stop.
    pub vanished: bool,
}

impl SlotMembers {
    /// Returns the current list.
    #[must_use]
    pub const fn current(&self) -> &LiveMembers {
        &self.current
    }

    /// Returns the identifier of the current list.
    #[must_use]
    pub fn view_id(&self) -> ViewId {
        let registration_tags: Vec<String> =
            self.current.live.iter().map(registration_tag).collect();
        let names = self.current.live.iter().map(|member| &*member.name);
        view_id(names.zip(registration_tags.iter().map(String::as_str)))
    }

    /// Finds a live member by name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&LiveMember> {
        let mut live = self.current.live.iter();
        live.find(|member| &*member.name == name)
    }

    /// Adopts the platform's list unless the current one is newer. A list without live members is
    /// ignored: all heartbeats expired in an outage, and the owners stay the same.
    pub fn adopt_platform_list(
        &mut self,
        view: &MemberView,
        own: &MemberId,
    ) -> Option<MemberChange> {
        let mut live: Vec<LiveMember> = view
            .members
            .values()
            .filter(|member| member.heartbeat)
            .map(|member| LiveMember {
                name: Arc::clone(&member.record.name),
                incarnation: Arc::clone(&member.record.incarnation),
                registered: member.registered,
            })
            .collect();
        live.sort_by(|one, other| one.name.cmp(&other.name));
        let is_first_list = self.current.live.is_empty();
        let stopped_gracefully = |old: &LiveMember| !view.members.contains_key(&old.name);
        let is_not_live = |name: &Arc<str>| !live.iter().any(|member| member.name == *name);
        let has_dead_record = is_first_list && view.members.keys().any(is_not_live);
        let new = LiveMembers {
            revision: view.revision,
            live,
        };
        let change = self.adopt(new, own, stopped_gracefully)?;
        Some(MemberChange {
            vanished: change.vanished || has_dead_record,
            ..change
        })
    }

    /// Adopts a peer's list unless the current one is newer. A peer's list does not tell which
    /// members stopped gracefully, so every missing member counts as vanished.
    pub fn adopt_peer_list(&mut self, new: LiveMembers, own: &MemberId) -> Option<MemberChange> {
        self.adopt(new, own, |_| false)
    }

    fn adopt(
        &mut self,
        new: LiveMembers,
        own: &MemberId,
        stopped_gracefully: impl Fn(&LiveMember) -> bool,
    ) -> Option<MemberChange> {
        let old = &self.current;
        if new.live.is_empty() || new.revision < old.revision || new.live == old.live {
            return None;
        }
        let own_registration = |list: &LiveMembers| {
            let mut live = list.live.iter();
            live.find(|member| member.name == own.name && member.incarnation == own.incarnation)
                .map(|member| member.registered)
        };
        let was_continuously_live =
            own_registration(&new).is_some() && own_registration(&new) == own_registration(old);
        let is_missing = |member: &&LiveMember| !new.live.contains(member);
        let vanished = old
            .live
            .iter()
            .filter(is_missing)
            .any(|member| !stopped_gracefully(member));
        self.current = new;
        Some(MemberChange {
            was_continuously_live,
            vanished,
        })
    }
}

fn registration_tag(member: &LiveMember) -> String {
    format!("{}/{}", member.incarnation, member.registered)
}
