"""Guards the classification: no statement that changes data or leaves state becomes a read."""

import pytest

from pistachiowinch.proxy.classify import (
    Action,
    classify,
    normalize_statement,
    placeholder_offsets,
    strip_comments,
)
from pistachiowinch.routing.statements import StatementKind

READS = """
SELECT 1
select * from t where a = 'x;y' and b = 5 -- comment
SELECT 1;
(select 1) union (select 2)
with a as (select 1) select * from a
with a (x) as (select 1) select * from a
select count(*), max(a) from t group by b having sum(c) > 1
select replace(a, 'x', 'y') from t
select * from t where a in (1, 2) and exists (select 1 from u)
select cast(a as char(10)), if(a, 1, 2) from t use index (i)
select row_number() over (partition by a order by b) from t
select date_add(now(), interval (1) day)
select 'it''s', "a\\"b;", `we;ird` from t # comment
select @@version, @@session.transaction_isolation
show tables
select table_name from information_schema.tables
select system, mysql_version from t
explain select * from t
explain analyze select 1
describe t
table t
values row(1, 2)
do sleep(0)
"""

WRITES = """
insert into t values (1, 'a')
update t set a = 1
delete from t
replace into t values (1)
with a as (select 1) update t set a = 1
with a (x) as (select 1) insert into t select * from a
with a as (select 1) delete from t
select a into outfile '/tmp/x' from t
select my_function(1)
select other.my_function(1)
select `my_function`(1)
select other.`count`(1)
select count (*) from t
select load_file('/etc/passwd')
select next value for s
select * from t procedure analyse()
explain analyze select my_function(1)
some unknown statement
"""

LOCKING = """
select a from t for update
select a from t where b = 1 FOR  UPDATE skip locked
select a from t for share
select a from t lock in share mode
select a from t for /* x */ update
"""

STATEFUL = """
select @a := 1
select @a
select a into @b from t
select get_lock('x', 1)
select release_lock('x')
select 1--get_lock('x',1)
select `a`, @`b` from t
create temporary table t (a int)
create temporary table t select a, count(*) from u group by a
drop temporary table t
"""

DDL = """
create table t (a int)
create or replace view v as select 1
create procedure p() begin insert into t values (1); end
alter table t add b int
drop table t
truncate table t
rename table a to b
optimize table t
"""

REFUSED = """
SELECT 1; DROP TABLE t
SELECT 1; SELECT 2;
/*!50000 drop table t */
select 1 /*! into outfile 'x' */
select 1 /*M! into outfile 'x' */
select 'a
select `a
select 1 /* open
call p()
prepare s from 'drop table t'
execute s
lock tables t read
unlock tables
flush tables with read lock
load data local infile 'x' into table t
grant all on *.* to x
create user x
create database x
drop database x
create table t (a int); drop table u
create temporary table t select my_function()
kill 5
xa start 'x'
commit and chain
rollback release
start replica
start slave
show processlist
show full processlist
show engine innodb status
select * from information_schema.processlist
select * from `mysql`.`user`
select * from performance_schema.threads
explain for connection 5
insert into t values (@a := 1)
update t set a = get_lock('x', 1)
select * from pistachiowinch_ledger
insert into `pistachiowinch_ledger` values (1)
select pistachiowinch_token from t
call pistachiowinch_fence(5)
explain select * from pistachiowinch_ledger
1 + 1
"""


def lines(text):
    return [line for line in text.splitlines() if line]


def classify_forwarded(text):
    classification = classify(text)
    assert classification.action is Action.FORWARD, classification
    return classification


@pytest.mark.parametrize("text", lines(READS))
def test_reads(text):
    classification = classify_forwarded(text)
    assert classification.kind is StatementKind.READ
    assert not classification.is_locking_read


@pytest.mark.parametrize("text", lines(WRITES))
def test_statements_not_known_to_be_reads_are_writes(text):
    assert classify_forwarded(text).kind is StatementKind.WRITE


@pytest.mark.parametrize("text", lines(LOCKING))
def test_locking_reads_are_marked(text):
    classification = classify_forwarded(text)
    assert (classification.kind, classification.is_locking_read) == (StatementKind.READ, True)


@pytest.mark.parametrize("text", lines(STATEFUL))
def test_statements_that_leave_state_are_pinned(text):
    assert classify_forwarded(text).kind is StatementKind.SESSION_STATE


@pytest.mark.parametrize("text", lines(DDL))
def test_ddl(text):
    assert classify_forwarded(text).kind is StatementKind.DDL


@pytest.mark.parametrize("text", lines(REFUSED))
def test_refused(text):
    classification = classify(text)
    assert classification.action is Action.REFUSE
    assert classification.reason


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        ("BEGIN", StatementKind.BEGIN),
        ("start transaction read only", StatementKind.BEGIN),
        ("Commit", StatementKind.COMMIT),
        ("ROLLBACK WORK", StatementKind.ROLLBACK),
    ],
)
def test_transaction_control(text, kind):
    assert classify_forwarded(text).kind is kind


@pytest.mark.parametrize(
    "text",
    [
        "select found_rows()",
        "insert into t values (last_insert_id())",
        "select row_count() from t",
        "select @@warning_count",
        "savepoint a",
        "rollback to savepoint a",
    ],
)
def test_values_of_the_connection_need_a_transaction(text):
    # On a pooled connection the values could come from another caller's statement.
    assert classify_forwarded(text).needs_transaction


@pytest.mark.parametrize(
    ("text", "action"),
    [
        ("SET autocommit = 0", Action.SET),
        ("use hire", Action.USE),
        ("select @@pistachiowinch_token", Action.LOCAL_SELECT),
        ("SELECT @@pistachiowinch_token, @@pistachiowinch_session", Action.LOCAL_SELECT),
        ("select @@autocommit", Action.LOCAL_SELECT),
        ("select last_insert_id()", Action.LAST_INSERT_ID),
        ("show warnings", Action.WARNINGS),
        (" -- nothing", Action.EMPTY),
    ],
)
def test_local_statements(text, action):
    assert classify(text).action is action


def test_normalization_replaces_constants_only():
    assert normalize_statement("select 'a', 12.5, `x1`, t1.a /* c */ # d") == (
        "select '', 1, `x1`, t1.a"
    )
    assert strip_comments("select 'a' /* c */, 1") == "select 'a'  , 1"


def test_placeholders_outside_strings_and_comments():
    text = "select ?, '?', `?`, \"?\" /* ? */ from t where a = ? -- ?"
    assert placeholder_offsets(text) == [7, text.index("= ?") + 2]


def test_rows_and_lists_of_constants_normalize_to_one_text():
    short = normalize_statement("INSERT INTO t VALUES (1, 'a')")
    assert normalize_statement("INSERT INTO t VALUES (1,'b'), (22, NULL) ,(3, '')") == short
    assert normalize_statement("SELECT now(), f() FROM t WHERE a IN (1, 2)").count("()") == 2


def test_long_statements_are_classified_quickly_or_as_writes():
    # A statement of the maximum size must not block the event loop.
    rows = ", ".join(["(1, 'it''s', NULL)"] * 100_000)
    assert classify_forwarded(f"INSERT INTO t VALUES {rows}").kind is StatementKind.WRITE
    assert classify_forwarded(f"INSERT INTO t VALUES {rows}, x").kind is StatementKind.WRITE
    columns = ", ".join(f"column_{index}" for index in range(5_000))
    assert classify_forwarded(f"SELECT {columns} FROM t").kind is StatementKind.WRITE
    assert classify(f"SELECT {columns}, @a := 1 FROM t").action is Action.REFUSE
    assert classify(f"INSERT INTO t SELECT {columns}, get_lock('a', 1)").action is Action.REFUSE
    assert classify_forwarded("SELECT '" + "''" * 4_000_000 + "'").kind is StatementKind.READ
    assert classify("SELECT '" + "x" * 4_000_000).action is Action.REFUSE
