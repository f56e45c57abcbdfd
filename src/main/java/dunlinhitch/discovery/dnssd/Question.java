package dunlinhitch.discovery.dnssd;

import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;

/**
 * A DNS question of class IN, which is also the key of a record set.
 *
 * @param name owner name of the records
 * @param type type of the records, as in {@link Type}
 */
public record Question(Name name, int type) {
  /** Returns the question as a dnsjava record without data. */
  Record record() {
    return Record.newRecord(name, type, DClass.IN);
  }

  @Override
  public String toString() {
    return Type.string(type) + " " + name;
  }
}
