//! Attribute macros for the common sets of derives, so that a type states its
//! kind (`data`, `id`, `message`) instead of a list of traits, and for tests that
//! share a system (`on_system`).

use proc_macro::{Delimiter, Group, TokenStream, TokenTree};

/// A plain value: `Debug`, `Clone`, `PartialEq`.
#[proc_macro_attribute]
pub fn data(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("#[derive(Debug, Clone, PartialEq)]", item)
}

/// A small key or name: `data` and the traits that maps and sorting need.
#[proc_macro_attribute]
pub fn id(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]", item)
}

/// A value that crosses a process boundary: `data` and serde's `Serialize` and
/// `Deserialize`.
///
/// The crate that uses it needs `serde` with the `derive` feature.
#[proc_macro_attribute]
pub fn message(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("#[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]", item)
}

/// An asynchronous test on the system that all tests of the process share.
///
/// The crate that uses it needs `peatdeck-test-support`.
///
/// # Panics
/// If the item is not a function with a name and a body.
#[proc_macro_attribute]
pub fn on_system(_args: TokenStream, item: TokenStream) -> TokenStream {
    let tokens: Vec<TokenTree> = item.into_iter().collect();
    let keyword = tokens.iter().position(|token| token.to_string() == "fn");
    let name = keyword.and_then(|idx| tokens.get(idx + 1)).expect("a function has a name");
    let body = tokens.last().expect("a function has a body").clone();
    let mut test: TokenStream = "|| async move".parse().expect("the constant parses");
    test.extend([body]);
    let mut call: TokenStream =
        "::peatdeck_test_support::system::run".parse().expect("the constant parses");
    call.extend([TokenTree::from(Group::new(Delimiter::Parenthesis, test))]);
    let mut out: TokenStream = "#[test] fn".parse().expect("the constant parses");
    out.extend([
        name.clone(),
        Group::new(Delimiter::Parenthesis, TokenStream::new()).into(),
        Group::new(Delimiter::Brace, call).into(),
    ]);
    out
}

fn derive(attribute: &str, item: TokenStream) -> TokenStream {
    let mut out: TokenStream = attribute.parse().expect("the attribute parses");
    out.extend(item);
    out
}
