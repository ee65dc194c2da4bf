//! The members that the slot task computes owners from.

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

/// How a new list differs from the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Whether this daemon was live in both without a break.
    pub was_continuously_live: bool,
    /// Whether a member vanished without a graceful stop, as far as can be told.
    pub vanished: bool,
}

impl SlotMembers {
    /// The list in use.
    #[must_use]
    pub const fn current(&self) -> &LiveMembers {
        &self.current
    }

    /// Identifies the list in use.
    #[must_use]
    pub fn view_id(&self) -> ViewId {
        let tags: Vec<String> = self.current.live.iter().map(tag).collect();
        let names = self.current.live.iter().map(|member| &*member.name);
        view_id(names.zip(tags.iter().map(String::as_str)))
    }

    /// Key of a live member by name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&LiveMember> {
        let mut live = self.current.live.iter();
        live.find(|member| &*member.name == name)
    }

    /// Adopts the platform's list unless a newer one is in use. A list without live members is
    /// ignored: it means that the heartbeats ended in an outage, and owners stay where they are.
    pub fn adopt_view(&mut self, view: &MemberView, own: &MemberId) -> Option<MemberChange> {
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
        let first = self.current.live.is_empty();
        let left = |old: &LiveMember| !view.members.contains_key(&old.name);
        let missing = |name: &Arc<str>| !live.iter().any(|member| member.name == *name);
        let dead_record = first && view.members.keys().any(missing);
        let new = LiveMembers {
            revision: view.revision,
            live,
        };
        let change = self.adopt(new, own, left)?;
        Some(MemberChange {
            vanished: change.vanished || dead_record,
            ..change
        })
    }

    /// Adopts a peer's list if it is newer. It does not say which members stopped gracefully, so
    /// every missing one counts as vanished.
    pub fn adopt_peer(&mut self, new: LiveMembers, own: &MemberId) -> Option<MemberChange> {
        self.adopt(new, own, |_| false)
    }

    fn adopt(
        &mut self,
        new: LiveMembers,
        own: &MemberId,
        left: impl Fn(&LiveMember) -> bool,
    ) -> Option<MemberChange> {
        let old = &self.current;
        if new.live.is_empty() || new.revision < old.revision || new.live == old.live {
            return None;
        }
        let own_in = |list: &LiveMembers| {
            let mut live = list.live.iter();
            live.find(|member| member.name == own.name && member.incarnation == own.incarnation)
                .map(|member| member.registered)
        };
        let was_continuously_live = own_in(&new).is_some() && own_in(&new) == own_in(old);
        let gone = |member: &&LiveMember| !new.live.contains(member);
        let vanished = old.live.iter().filter(gone).any(|member| !left(member));
        self.current = new;
        Some(MemberChange {
            was_continuously_live,
            vanished,
        })
    }
}

fn tag(member: &LiveMember) -> String {
    format!("{}/{}", member.incarnation, member.registered)
}
