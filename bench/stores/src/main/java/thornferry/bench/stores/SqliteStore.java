package thornferry.bench.stores;

import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;

/** Keeps records in a table of SQLite, with a write-ahead log and full synchronization. */
final class SqliteStore implements RecordStore {
    private final Connection connection;
    private final PreparedStatement insert;

    private SqliteStore(Connection connection) throws SQLException {
        this.connection = connection;
        insert = connection.prepareStatement("insert into records values (?, ?)");
    }

    static SqliteStore open(Path folder) throws SQLException {
        Connection connection =
                DriverManager.getConnection("jdbc:sqlite:" + folder.resolve("sqlite"));
        try (Statement statement = connection.createStatement()) {
            statement.execute("pragma journal_mode=wal");
            statement.execute("pragma synchronous=full");
            statement.execute("create table records (number integer primary key, content blob)");
        }
        connection.setAutoCommit(false);
        return new SqliteStore(connection);
    }

    @Override
    public void commit(long firstNumber, List<byte[]> records) throws SQLException {
        for (int i = 0; i < records.size(); i++) {
            insert.setLong(1, firstNumber + i);
            insert.setBytes(2, records.get(i));
            insert.addBatch();
        }
        insert.executeBatch();
        connection.commit();
    }

    @Override
    public void close() throws SQLException {
        connection.close();
    }
}
