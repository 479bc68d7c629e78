//! Attribute macros for the common sets of derives, so that a type states its
//! kind (`data`, `id`, `message`) instead of repeating a list of traits.

use proc_macro::TokenStream;

/// A plain value: `Debug`, `Clone`, `PartialEq`.
#[proc_macro_attribute]
pub fn data(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("#[derive(Debug, Clone, PartialEq)]", item)
}

/// A small key or name: everything that a map or a sort needs.
#[proc_macro_attribute]
pub fn id(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]", item)
}

/// A value that crosses a process boundary: `data` and serde's two traits.
///
/// The crate that uses it needs `serde` with the `derive` feature.
#[proc_macro_attribute]
pub fn message(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("#[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]", item)
}

fn derive(attribute: &str, item: TokenStream) -> TokenStream {
    let mut out: TokenStream = attribute.parse().expect("the attribute is a constant");
    out.extend(item);
    out
}
