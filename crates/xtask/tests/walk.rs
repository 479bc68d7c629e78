//! Replacement of the output in the README's blocks of commands.

use expect_test::expect;
use xtask::walk;

#[test]
fn output_is_replaced_and_commands_stay() {
    let page = "\
Before.
```console
$ first
stale
$ second <<'END'
> body
>
> END
stale
```
Between.
```sh
$ not run
```
```console
$ third
```
After.
";
    let mut ran = Vec::new();
    let run = |command: &str| {
        ran.push(command.to_owned());
        Ok::<_, ()>(format!("output {}\n", ran.len()))
    };
    let page = walk::replace(page, run).unwrap();
    expect![[r#"
        Before.
        ```console
        $ first
        output 1
        $ second <<'END'
        > body
        >
        > END
        output 2
        ```
        Between.
        ```sh
        $ not run
        ```
        ```console
        $ third
        output 3
        ```
        After.
    "#]]
    .assert_eq(&page);
    expect![[r#"
        [
            "first",
            "second <<'END'\nbody\n\nEND",
            "third",
        ]
    "#]]
    .assert_debug_eq(&ran);
}
