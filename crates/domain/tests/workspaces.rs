//! Which calls a key allows, and to whom a job belongs.

#![allow(clippy::expect_used, reason = "tests panic on failure")]

use rosemaryscale_domain::placement::Resources;
use rosemaryscale_domain::workspace::{Access, Caller, KeyDigest, Workspace, Workspaces};

fn workspace(name: &str) -> Workspace {
    Workspace {
        name: name.into(),
        weight_milli: 1_000,
        priority: 0,
        quota: Resources::default(),
    }
}

fn digest(key: &str) -> KeyDigest {
    KeyDigest::of(key.as_bytes())
}

fn owner_of(workspaces: &Workspaces, key: &str) -> Option<String> {
    match workspaces.access(false, Some(digest(key))) {
        Access::Workspace(owner) => Some(workspaces.get(owner)?.name.to_string()),
        Access::Public | Access::Denied => None,
    }
}

/// Guards against a key that opens another workspace, and against a route that is closed or open by mistake.
#[test]
fn a_key_gives_access_to_its_own_workspace_only() {
    let mut workspaces = Workspaces::enabled();
    let conflicts = workspaces.add(workspace("a"), ["a-1", "a-2", "a-1"].map(digest));
    assert!(conflicts.is_empty(), "a key listed twice is no conflict");
    workspaces.add(workspace("b"), [digest("b-1")]);
    assert_eq!(owner_of(&workspaces, "a-2").as_deref(), Some("a"));
    assert_eq!(owner_of(&workspaces, "b-1").as_deref(), Some("b"));
    for key in ["", "a-3", "A-1", " a-1"] {
        let access = workspaces.access(false, Some(digest(key)));
        assert_eq!(access, Access::Denied, "{key:?}");
    }
    assert_eq!(workspaces.access(false, None), Access::Denied);
    assert_eq!(workspaces.access(true, None), Access::Public);
    assert_eq!(Workspaces::default().access(false, None), Access::Public);
    assert_eq!(Workspaces::enabled().access(false, None), Access::Denied);
}

/// Guards against a key of two workspaces that lets the callers of one act for the other.
#[test]
fn a_key_of_several_workspaces_is_refused() {
    let mut workspaces = Workspaces::enabled();
    workspaces.add(workspace("a"), ["shared", "a-1"].map(digest));
    let conflicts = workspaces.add(workspace("b"), [digest("shared")]);
    assert_eq!(conflicts, ["a".into()]);
    workspaces.add(workspace("c"), [digest("shared")]);
    assert_eq!(owner_of(&workspaces, "shared"), None);
    assert_eq!(owner_of(&workspaces, "a-1").as_deref(), Some("a"));
}

/// Guards against the access of a workspace to jobs of another one, and against jobs of earlier deployments
/// that nobody can read any more.
#[test]
fn callers_access_the_jobs_of_their_own_workspace() {
    let own = Caller {
        workspace: Some("a".into()),
        public_queue: None,
    };
    let public = Caller {
        workspace: None,
        public_queue: Some("q".into()),
    };
    assert!(own.may_access(Some("a"), "q"));
    assert!(!own.may_access(Some("b"), "q"));
    assert!(own.may_access(None, "q"), "a job without a workspace");
    assert!(public.may_access(Some("a"), "q"));
    assert!(!public.may_access(Some("a"), "other"));
    assert!(Caller::default().may_access(Some("a"), "q"));
}

/// Guards against a digest in a log line or a panic, which would allow guesses to be checked.
#[test]
fn digests_are_not_shown() {
    let mut workspaces = Workspaces::enabled();
    workspaces.add(workspace("a"), [digest("secret")]);
    let shown = format!("{:?} {workspaces:?}", digest("secret"));
    assert!(shown.contains("KeyDigest(..)"), "{shown}");
    let bytes = format!("{:?}", [43, 184]); // first bytes of the digest of `secret`
    assert!(!shown.contains(bytes.trim_matches(['[', ']'])), "{shown}");
}
